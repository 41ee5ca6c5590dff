//! A minion is added to a queue whose advice takes long for each minion.

use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;

use super::{BROKEN, COULD_NOT_RUN, HELD, wait_until};
use crate::advice::{self, Times};
use crate::client::{state, submit};
use crate::cluster::{Cluster, Extras, advice_address};
use crate::record;

const WARM_UP: &str = "00000000000000a1";
const JOB: &str = "5c0e7a21d94b36f8";
const BODY: &str = "{\"spec\":\"work=300\",\"steps\":[{\"count\":1,\"cpu\":500,\"memMb\":100,\
    \"estimateMs\":300}]}";
/// With 11 minions a call takes 1.86 s, with 12 it takes 2.02 s.
const TIMES: Times = Times { decide_ms: 100, per_item_ms: 160, validity_ms: 3_000 };
const MINIONS: usize = 11;
const WATCHED: Duration = Duration::from_secs(45);

pub fn run(trouble: bool) -> std::io::Result<(i32, String)> {
    let address = advice_address()?;
    let route = format!(
        ",\"advice\":{{\"decideMs\":{},\"perItemMs\":{},\"validityMs\":{}}}",
        TIMES.decide_ms, TIMES.per_item_ms, TIMES.validity_ms
    );
    let mut cluster = Cluster::start(3, MINIONS, &Extras { route, advice: Some(address) })?;
    cluster.fleet.needs_ticket.store(true, Ordering::SeqCst);
    advice::start(address, TIMES, Arc::clone(&cluster.fleet))?;
    let entries = cluster.entries.clone();
    let is_accepted = submit(&entries, WARM_UP, BODY, Duration::from_secs(20));
    let is_done = || state(&entries, WARM_UP) == "completed";
    if !is_accepted || !wait_until(Duration::from_secs(25), is_done) {
        return Ok((COULD_NOT_RUN, "the deployment completes no job".into()));
    }
    if trouble {
        record::line("a minion is added");
        cluster.add_agent()?;
    }
    std::thread::sleep(Duration::from_secs(8));
    if !submit(&entries, JOB, BODY, Duration::from_secs(10)) {
        return Ok((COULD_NOT_RUN, "the job is not accepted".into()));
    }
    let is_done = wait_until(WATCHED, || {
        std::thread::sleep(Duration::from_millis(500));
        state(&entries, JOB) == "completed"
    });
    if !cluster.all_run() {
        return Ok((BROKEN, "a program has ended by itself".into()));
    }
    let shown = state(&entries, JOB);
    let why = format!(
        "{} s after it was accepted the job is shown as {shown}; all minions are empty",
        WATCHED.as_secs()
    );
    Ok((if is_done { HELD } else { BROKEN }, why))
}
