//! A burst of jobs meets a queue with an advice service.

use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use super::{BROKEN, COULD_NOT_RUN, HELD, wait_until};
use crate::advice::{self, Times};
use crate::client::{state, submit};
use crate::cluster::{Cluster, Extras, advice_address};
use crate::record;

const WARM_UP: &str = "00000000000000a1";
const JOB: &str = "{\"spec\":\"work=300\",\"steps\":[{\"count\":1,\"cpu\":500,\"memMb\":100,\
    \"estimateMs\":300}]}";
/// Times of the advice service: with three minions, 50 ms a call and 20 calls a second.
const TIMES: Times = Times { decide_ms: 20, per_item_ms: 10, validity_ms: 3_000 };
/// Jobs a second outside of the burst: 65% of what the advice service can decide.
const JOBS_PER_S: f64 = 13.0;
const TRAFFIC: Duration = Duration::from_secs(60);
/// The burst: when it begins, how long it takes and how strong it is.
const BURST_AT: Duration = Duration::from_secs(5);
const BURST: Duration = Duration::from_secs(4);
const BURST_FACTOR: f64 = 2.6;
/// Time after the end of the traffic at which jobs are asked for.
const FINISH: Duration = Duration::from_secs(14);
/// Time for which nothing of a job may run while there is room, with a margin.
const MAX_IDLE: Duration = Duration::from_millis(3_200);
const MINIONS: usize = 3;
const MINION_MILLI_CPUS: usize = 64_000;
const TASK_MILLI_CPUS: usize = 500;
/// Number of accepted jobs that are asked for.
const ASKED: usize = 6;

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
    let is_accepted = submit(&entries, WARM_UP, JOB, Duration::from_secs(20));
    let is_done = || state(&entries, WARM_UP) == "completed";
    if !is_accepted || !wait_until(Duration::from_secs(15), is_done) {
        return Ok((COULD_NOT_RUN, "the deployment completes no job".into()));
    }
    let accepted = Arc::new(Mutex::new(Vec::new()));
    let refused = Arc::new(AtomicUsize::new(0));
    let began = Instant::now();
    let (mut due, mut number) = (Duration::ZERO, 0_u64);
    while due < TRAFFIC {
        std::thread::sleep(due.saturating_sub(began.elapsed()));
        number += 1;
        let id = format!("{:016x}", 0xb000 + number);
        let mut entries = entries.clone();
        entries.rotate_left(number as usize % 3);
        let (accepted, refused) = (Arc::clone(&accepted), Arc::clone(&refused));
        std::thread::spawn(move || {
            if submit(&entries, &id, JOB, Duration::from_secs(8)) {
                accepted.lock().unwrap().push(id);
            } else {
                refused.fetch_add(1, Ordering::SeqCst);
            }
        });
        let is_burst = trouble && due >= BURST_AT && due < BURST_AT + BURST;
        let rate = JOBS_PER_S * if is_burst { BURST_FACTOR } else { 1.0 };
        due += Duration::from_secs_f64(1.0 / rate);
    }
    record::line("end of the traffic");
    std::thread::sleep(FINISH);
    record::line("jobs are asked for");
    let accepted = accepted.lock().unwrap().clone();
    let mut unanswered = 0;
    // Jobs that have not begun at the end of the window had nothing running all the while.
    let began = Instant::now();
    let mut in_use = 0;
    while began.elapsed() < MAX_IDLE {
        in_use = in_use.max(cluster.fleet.running(""));
        std::thread::sleep(Duration::from_millis(100));
    }
    let seen = cluster.fleet.seen.lock().unwrap().clone();
    let has_begun = |id: &String| seen.iter().any(|seen| seen.task.starts_with(id.as_str()));
    let idle = accepted.iter().filter(|id| !has_begun(id)).count();
    let is_room = in_use * TASK_MILLI_CPUS * 2 < MINIONS * MINION_MILLI_CPUS;
    let last = accepted.iter().rev().step_by(accepted.len().max(ASKED) / ASKED).take(ASKED);
    let asking: Vec<_> = last
        .map(|id| {
            let (id, entries) = (id.clone(), entries.clone());
            std::thread::spawn(move || state(&entries, &id))
        })
        .collect();
    for asked in asking {
        unanswered += usize::from(asked.join().is_ok_and(|state| state.is_empty()));
    }
    if !cluster.all_run() {
        return Ok((BROKEN, "a program has ended by itself".into()));
    }
    let why = format!(
        "{} jobs accepted, {} not; 14 s after the end of the traffic and for 3 s from then, \
         {idle} of these have not begun, at most {in_use} tasks run on all 3 minions, and {unanswered} of {ASKED} jobs that are \
         asked for get no answer from any entry",
        accepted.len(),
        refused.load(Ordering::SeqCst)
    );
    Ok((if (idle > 0 && is_room) || unanswered > 0 { BROKEN } else { HELD }, why))
}
