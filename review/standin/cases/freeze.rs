//! An entry that does not coordinate freezes once and wakes again.

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use super::{BROKEN, COULD_NOT_RUN, HELD, wait_until};
use crate::client::{send, state, submit};
use crate::cluster::{Cluster, Extras, SIGCONT, SIGSTOP};
use crate::http::call;
use crate::record;

const WARM_UP: &str = "00000000000000a1";
/// Length of the freeze, as in the site file.
const FREEZE: Duration = Duration::from_secs(4);
/// Time after the end of the freeze from which the machine is in touch again (`contactMs`), and a
/// margin of 2 s.
const CONTACT: Duration = Duration::from_secs(5);
const WATCHED: Duration = Duration::from_secs(40);

pub fn run(trouble: bool) -> std::io::Result<(i32, String)> {
    let mut cluster = Cluster::start(3, 3, &Extras::default())?;
    let entries = cluster.entries.clone();
    let job = "{\"spec\":\"work=200\",\"steps\":[{\"count\":3,\"cpu\":500,\"memMb\":100,\
        \"estimateMs\":200}]}";
    let is_accepted = submit(&entries, WARM_UP, job, Duration::from_secs(20));
    let is_done = || state(&entries, WARM_UP) == "completed";
    if !is_accepted || !wait_until(Duration::from_secs(15), is_done) {
        return Ok((COULD_NOT_RUN, "the deployment completes no job".into()));
    }
    let readiness = cluster.readiness.clone();
    let is_ready = |entry: &SocketAddr| {
        call(*entry, "ready", "GET", "/v1/ready", "", "", Duration::from_secs(1)).0 == 200
    };
    let all_ready = || readiness.iter().all(is_ready);
    let Some(leader) =
        cluster.coordinator().filter(|_| wait_until(Duration::from_secs(10), all_ready))
    else {
        return Ok((COULD_NOT_RUN, "not all entries are ready".into()));
    };
    // The entry has served for a while, so that its connections are established.
    std::thread::sleep(Duration::from_secs(3));
    let frozen = (leader + 1) % 3;
    if trouble {
        cluster.signal(frozen, SIGSTOP);
    }
    std::thread::sleep(FREEZE);
    if trouble {
        cluster.signal(frozen, SIGCONT);
    }
    std::thread::sleep(CONTACT);
    record::line("all machines are in touch; the watch begins");
    let began = Instant::now();
    let (mut checks, mut unready, mut sent, mut served) = (0, [0; 3], [0; 3], [0; 3]);
    let mut number = 0;
    while began.elapsed() < WATCHED {
        checks += 1;
        for entry in 0..3 {
            let ready = is_ready(&readiness[entry]);
            record::line(&format!("balancer asks front-z1-{}: ready {ready}", entry + 1));
            unready[entry] += u32::from(!ready);
            number += 1;
            sent[entry] += 1;
            let id = format!("{:016x}", 0xd000 + number);
            served[entry] += u32::from(send(entries[entry], "POST", &id, job).0 == 200);
        }
        std::thread::sleep(Duration::from_secs(1));
    }
    if !cluster.all_run() {
        return Ok((BROKEN, "a program has ended by itself".into()));
    }
    let share = f64::from(unready.iter().sum::<u32>()) / f64::from(3 * checks);
    let why = format!(
        "from 5 s after the freeze on, for {} s: not ready at {unready:?} of {checks} checks an \
         entry, {:.0}% of the machines' time; {served:?} of {sent:?} jobs accepted an entry",
        WATCHED.as_secs(),
        share * 100.0
    );
    Ok((if share > 0.125 { BROKEN } else { HELD }, why))
}
