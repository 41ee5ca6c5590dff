//! A gang ends while the machine of one of its members is cut off.

use std::time::{Duration, Instant};

use super::{BROKEN, COULD_NOT_RUN, HELD, wait_until};
use crate::client::{state, submit};
use crate::cluster::{Cluster, Extras};
use crate::record;

const WARM_UP: &str = "00000000000000a1";
const JOB: &str = "5c0e7a21d94b36f8";
/// One of six machines is 0.167 of them, below the largest share of the site file, 0.17.
const MINIONS: usize = 6;
/// Length of the cut, as on the site's sheet.
const CUT: Duration = Duration::from_millis(5_500);
/// Time after the end of the cut from which all machines are in touch again, and a margin.
const CONTACT: Duration = Duration::from_secs(5);
/// Time for which the job is watched after that.
const WATCHED: Duration = Duration::from_secs(30);
/// Time for which nothing of a job may run while its turn has come.
const MAX_IDLE: Duration = Duration::from_secs(3);

pub fn run(trouble: bool) -> std::io::Result<(i32, String)> {
    let mut cluster = Cluster::start(3, MINIONS, &Extras::default())?;
    let entries = cluster.entries.clone();
    let small = "{\"spec\":\"work=200;work=200\",\"steps\":[{\"count\":3,\"cpu\":500,\
        \"memMb\":100,\"estimateMs\":200},{\"count\":1,\"cpu\":500,\"memMb\":100,\
        \"estimateMs\":200,\"after\":[0]}]}";
    let is_accepted = submit(&entries, WARM_UP, small, Duration::from_secs(20));
    let is_done = || state(&entries, WARM_UP) == "completed";
    if !is_accepted || !wait_until(Duration::from_secs(15), is_done) {
        return Ok((COULD_NOT_RUN, "the deployment completes no job".into()));
    }
    // Each member needs more than half of a minion, so that the two run on two machines.
    let gang = "{\"spec\":\"work=3000,gang=2;work=5000;work=500\",\"steps\":[{\"count\":2,\
        \"cpu\":40000,\"memMb\":1000,\"estimateMs\":3000,\"allOrNone\":true},{\"count\":1,\
        \"cpu\":500,\"memMb\":100,\"estimateMs\":5000,\"after\":[0]},{\"count\":1,\"cpu\":500,\
        \"memMb\":100,\"estimateMs\":500,\"after\":[0,1]}]}";
    if !submit(&entries, JOB, gang, Duration::from_secs(10)) {
        return Ok((COULD_NOT_RUN, "the job is not accepted".into()));
    }
    if !wait_until(Duration::from_secs(10), || cluster.fleet.running(JOB) == 2) {
        return Ok((COULD_NOT_RUN, "the gang does not start".into()));
    }
    // The members have been at work for a while, and polls have shown it.
    std::thread::sleep(Duration::from_millis(1_000));
    let second = format!("{JOB}.0.0.1");
    let machine = {
        let seen = cluster.fleet.seen.lock().unwrap();
        let start = seen.iter().rev().find(|seen| seen.task == second && seen.what == "start");
        let minion = start.map(|seen| seen.minion.clone()).unwrap_or_default();
        cluster.minions.iter().position(|other| other.id() == minion).unwrap_or(0)
    };
    if trouble {
        cluster.cut(machine, true);
    }
    std::thread::sleep(CUT);
    if trouble {
        cluster.cut(machine, false);
    }
    let done = |cluster: &Cluster, step: &str| {
        let seen = cluster.fleet.seen.lock().unwrap();
        let prefix = format!("{JOB}.0.{step}.");
        seen.iter().filter(|s| s.task.starts_with(&prefix) && s.what == "done").count()
    };
    if done(&cluster, "0") < 2 {
        return Ok((COULD_NOT_RUN, "the gang has not ended as done".into()));
    }
    std::thread::sleep(CONTACT);
    let began = Instant::now();
    let mut idle_since = Instant::now();
    let mut longest_idle = Duration::ZERO;
    let mut shown = String::new();
    while began.elapsed() < WATCHED {
        shown = state(&entries, JOB);
        if shown == "completed" {
            return Ok((HELD, "the job is shown as completed".into()));
        }
        if cluster.fleet.running(JOB) > 0 {
            idle_since = Instant::now();
        }
        longest_idle = longest_idle.max(idle_since.elapsed());
        std::thread::sleep(Duration::from_millis(500));
    }
    if !cluster.all_run() {
        return Ok((BROKEN, "a program has ended by itself".into()));
    }
    record::line(&format!("longest time without a run: {} ms", longest_idle.as_millis()));
    let why = format!(
        "the gang's members ended as done, nothing else runs on any minion, and for {} s nothing \
         of the job runs; it is shown as {shown}",
        longest_idle.as_secs()
    );
    Ok((if longest_idle >= MAX_IDLE { BROKEN } else { HELD }, why))
}
