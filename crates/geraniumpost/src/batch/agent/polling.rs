//! Reading the minion's lists, which also keeps its lease.

use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;

use geraniumpost_batch::{FromAgent, PollResult};
use geraniumpost_platform::{MinionReply, TaskLists};
use geraniumpost_schema::Name;

use super::super::BootClock;
use super::state::State;

/// How long the minion waits for a new end before it answers.
const WAIT: Duration = Duration::from_millis(400);
/// Time given to an answer on top of that.
const TIMEOUT: Duration = Duration::from_millis(600);
/// Pause between two looks while ends wait for their acknowledgement, which takes about 10 ms.
const UNACKNOWLEDGED: Duration = Duration::from_millis(150);
/// Pause after the minion did not answer.
const PAUSE: Duration = Duration::from_millis(100);
/// How often a look is passed on whole, in milliseconds; progress and tails move that slowly.
const WHOLE_EVERY_MS: u64 = 400;

/// Looks for as long as the process runs.
pub async fn look_always(state: Arc<State>) {
    let mut passed_ms = 0;
    let mut quiet = false;
    loop {
        let fence = state.fence.load(Ordering::SeqCst);
        let candidates = state.candidates();
        if fence == 0 || candidates.is_empty() {
            let _ = tokio::time::timeout(PAUSE, state.wake.notified()).await;
            continue;
        }
        for id in candidates {
            let unproved = state.present().is_none_or(|present| present.id != id);
            let wait = if unproved || quiet { Duration::ZERO } else { WAIT };
            let before = state.results();
            let (forget, _) = if unproved { (0, 0) } else { state.ends() };
            let hold_until = if unproved { None } else { state.hold_until() };
            let reply = state.minion.poll(&id, fence, forget, hold_until, wait, TIMEOUT).await;
            match reply {
                MinionReply::Ok(view) => {
                    state.answered(&id, view.clock_ms, BootClock.now_ms());
                    quiet = pass_on(&state, &id, view, before, &mut passed_ms);
                }
                other => {
                    failed(&state, &id, &other);
                    tokio::time::sleep(PAUSE).await;
                }
            }
        }
        if quiet {
            // The minion would answer at once, as it lists ends that were passed on already.
            let _ = tokio::time::timeout(UNACKNOWLEDGED, state.wake.notified()).await;
            let (forget, passed_on) = state.ends();
            quiet = forget < passed_on;
        }
    }
}

/// Passes a look on; returns whether ends in it wait for their acknowledgement.
fn pass_on(
    state: &State,
    id: &Name,
    view: TaskLists,
    before: Option<u64>,
    passed_ms: &mut u64,
) -> bool {
    let (_, passed_on) = state.ends();
    let waiting = !view.ended.is_empty();
    let last = view.ended.last().map(|end| end.sequence);
    let Some(orders_reported_before) = before.filter(|_| state.results().is_some()) else {
        return waiting;
    };
    let ended: Vec<_> = view.ended.into_iter().filter(|end| end.sequence > passed_on).collect();
    let now_ms = BootClock.now_ms();
    let whole = state.pass_on(last, now_ms >= *passed_ms + WHOLE_EVERY_MS);
    if whole {
        *passed_ms = now_ms;
    } else if ended.is_empty() {
        return waiting;
    }
    let running = whole.then_some(view.running);
    let minion = id.clone();
    let more_ends = view.more_ends;
    state.send(FromAgent::PollResult(PollResult {
        minion,
        running,
        ended,
        more_ends,
        orders_reported_before,
    }));
    waiting
}

fn failed(state: &State, id: &Name, reply: &MinionReply<TaskLists>) {
    match reply {
        MinionReply::IncarnationMismatch => state.gone(id),
        MinionReply::Superseded => {
            // The coordinator that this agent obeys has a successor; the link to it is of no use.
            spdlog::warn!("event=coordinator_superseded minion={id}");
            state.coordinator_misses_store.store(true, Ordering::Relaxed);
        }
        MinionReply::Refused(why)
        | MinionReply::Unreachable(why)
        | MinionReply::Unanswered(why) => {
            spdlog::debug!("event=look_failed minion={id} why=\"{why}\"");
        }
        MinionReply::Ok(_) => {}
    }
}
