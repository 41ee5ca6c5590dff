//! The only minion with a label crashes several times under a sound job that needs the label.

use std::time::Duration;

use super::{BROKEN, COULD_NOT_RUN, HELD, wait_until};
use crate::client::{state, submit};
use crate::cluster::{Cluster, Extras};
use crate::record;

const WARM_UP: &str = "00000000000000a1";
const JOB: &str = "5c0e7a21d94b36f8";
const BODY: &str = "{\"spec\":\"work=8000\",\"steps\":[{\"count\":1,\"cpu\":2000,\"memMb\":100,\
    \"estimateMs\":8000,\"requires\":\"b\"}]}";
/// One of eight minions is 0.125 of them, below the largest share of the site file, 0.14.
const MINIONS: usize = 8;
/// How long a minion is down after a crash, as in the site file.
const DOWN: Duration = Duration::from_millis(4_500);
/// Time that the minion is up before it crashes again.
const UP: Duration = Duration::from_millis(2_500);
const CRASHES: usize = 5;

pub fn run(trouble: bool) -> std::io::Result<(i32, String)> {
    let mut cluster = Cluster::start(3, MINIONS, &Extras::default())?;
    let entries = cluster.entries.clone();
    let small = "{\"spec\":\"work=200\",\"steps\":[{\"count\":3,\"cpu\":500,\"memMb\":100,\
        \"estimateMs\":200}]}";
    let is_accepted = submit(&entries, WARM_UP, small, Duration::from_secs(20));
    let is_done = || state(&entries, WARM_UP) == "completed";
    if !is_accepted || !wait_until(Duration::from_secs(15), is_done) {
        return Ok((COULD_NOT_RUN, "the deployment completes no job".into()));
    }
    if !submit(&entries, JOB, BODY, Duration::from_secs(10)) {
        return Ok((COULD_NOT_RUN, "the job is not accepted".into()));
    }
    if !wait_until(Duration::from_secs(10), || cluster.fleet.running(JOB) == 1) {
        return Ok((COULD_NOT_RUN, "the job does not begin".into()));
    }
    for crash in 1..=if trouble { CRASHES } else { 0 } {
        std::thread::sleep(UP);
        record::line(&format!("crash {crash} of the minion with the label b"));
        cluster.minions[0].crash(DOWN);
        std::thread::sleep(DOWN);
    }
    let mut shown = String::new();
    wait_until(Duration::from_secs(30), || {
        shown = state(&entries, JOB);
        std::thread::sleep(Duration::from_millis(300));
        matches!(&*shown, "completed" | "failed" | "cancelled")
    });
    if !cluster.all_run() {
        return Ok((BROKEN, "a program has ended by itself".into()));
    }
    let failed = {
        let seen = cluster.fleet.seen.lock().unwrap();
        seen.iter().filter(|s| s.task.starts_with(JOB) && s.what == "failed").count()
    };
    let why = format!(
        "the job is shown as {shown}; {failed} of its runs have ended as failed, and maxAttempts \
         is 4"
    );
    Ok((if shown == "failed" && failed < 4 { BROKEN } else { HELD }, why))
}
