//! A start order is carried out late, by the next life of its minion, after the task was done.

use std::sync::atomic::Ordering;
use std::time::Duration;

use super::{BROKEN, COULD_NOT_RUN, HELD, wait_until};
use crate::client::{state, submit};
use crate::cluster::{Cluster, Extras};
use crate::minion::KEEPS_ID;
use crate::record;

const WARM_UP: &str = "00000000000000a1";
const JOB: &str = "5c0e7a21d94b36f8";
const SMALL: &str = "{\"spec\":\"work=200\",\"steps\":[{\"count\":3,\"cpu\":500,\"memMb\":100,\
    \"estimateMs\":200}]}";
/// The task needs the label of the first minion, so that its place is known beforehand.
const BODY: &str = "{\"spec\":\"work=600\",\"steps\":[{\"count\":1,\"cpu\":2000,\"memMb\":100,\
    \"estimateMs\":600,\"requires\":\"b\"}]}";
/// One of ten minions is a share of 0.1, the largest in the site file.
const MINIONS: usize = 10;
/// Handed in just before, so that the late order is one of 31, below the largest share of 0.067.
const OTHER: &str = "00000000000000a2";
const OTHER_BODY: &str = "{\"spec\":\"work=600\",\"steps\":[{\"count\":30,\"cpu\":500,\"memMb\":100,\
    \"estimateMs\":600,\"requires\":\"a\"}]}";
/// How late the order is carried out: 2 to 12 s on the site's bench.
const LATE_MS: u64 = 8_000;
/// How long the minion is down, as in the site file.
const DOWN: Duration = Duration::from_millis(1_400);

pub fn run(trouble: bool) -> std::io::Result<(i32, String)> {
    KEEPS_ID.store(true, Ordering::SeqCst);
    let mut cluster = Cluster::start(3, MINIONS, &Extras::default())?;
    let entries = cluster.entries.clone();
    let is_accepted = submit(&entries, WARM_UP, SMALL, Duration::from_secs(20));
    let is_done = || state(&entries, WARM_UP) == "completed";
    if !is_accepted || !wait_until(Duration::from_secs(15), is_done) {
        return Ok((COULD_NOT_RUN, "the deployment completes no job".into()));
    }
    // The minion has been up for a while, like most in operation.
    std::thread::sleep(Duration::from_secs(10));
    if !submit(&entries, OTHER, OTHER_BODY, Duration::from_secs(10)) {
        return Ok((COULD_NOT_RUN, "the other job is not accepted".into()));
    }
    if trouble {
        cluster.minions[0].next_start_late_ms.store(LATE_MS, Ordering::SeqCst);
    }
    if !submit(&entries, JOB, BODY, Duration::from_secs(10)) {
        return Ok((COULD_NOT_RUN, "the job is not accepted".into()));
    }
    let sent_ms = record::now_ms();
    let is_done = || state(&entries, JOB) == "completed";
    if !wait_until(Duration::from_millis(LATE_MS / 2), is_done) {
        return Ok((COULD_NOT_RUN, "the job is not completed in time".into()));
    }
    if trouble {
        record::line("the minion goes down");
        cluster.minions[0].crash(DOWN);
    }
    let left_ms = (sent_ms + LATE_MS + 4_000).saturating_sub(record::now_ms());
    std::thread::sleep(Duration::from_millis(left_ms));
    if !cluster.all_run() {
        return Ok((BROKEN, "a program has ended by itself".into()));
    }
    let seen = cluster.fleet.seen.lock().unwrap();
    let of_job = || seen.iter().filter(|seen| seen.task.starts_with(JOB));
    let noted = of_job().find(|seen| seen.what == "noted").map(|seen| seen.at_ms);
    let done = of_job().find(|seen| seen.what == "done").map(|seen| seen.at_ms);
    let again = of_job().rfind(|seen| seen.what == "start").map(|seen| seen.at_ms);
    let (Some(noted), Some(done), Some(again)) = (noted, done, again) else {
        return Ok((COULD_NOT_RUN, "the task's end was not taken note of".into()));
    };
    let why = format!(
        "the task ended as done at {done} ms, which was taken note of at {noted} ms, and its last \
         start was at {again} ms"
    );
    Ok((if again > done { BROKEN } else { HELD }, why))
}
