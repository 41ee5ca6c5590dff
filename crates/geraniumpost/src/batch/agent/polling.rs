//! Polls the minion's lists of running and ended tasks. Each poll also extends the minion's lease.

use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;

use geraniumpost_batch::{FromAgent, PollResult};
use geraniumpost_platform::{MinionReply, TaskLists};
use geraniumpost_schema::Name;

use super::super::BootClock;
use super::state::State;

/// Maximum time for which the minion waits for a task to end before it responds to a poll.
const POLL_WAIT: Duration = Duration::from_millis(400);
/// Timeout of a poll in addition to [`POLL_WAIT`].
const RESPONSE_TIMEOUT: Duration = Duration::from_millis(600);
/// Maximum pause between two polls while the minion lists ended tasks that the coordinator has not
/// acknowledged. An acknowledgement takes about 10 ms.
const ACKNOWLEDGEMENT_PAUSE: Duration = Duration::from_millis(150);
/// Pause after a failed poll.
const RETRY_PAUSE: Duration = Duration::from_millis(100);
/// Interval at which running tasks are reported in addition to ended ones, in milliseconds. The
/// progress and tail latency of running tasks change slowly.
const FULL_REPORT_INTERVAL_MS: u64 = 400;

/// Maximum age of a response in milliseconds by which a poll may rely on the minion's being the
/// same process. A process needs longer to start again.
const MAX_RESPONSE_AGE_MS: u64 = 1_000;

/// The incarnation that responded to the last poll, and the time of that response on the monotonic
/// clock.
///
/// A poll reaches whichever process runs under the id. A process that has started since the last
/// response would discard its first ended tasks on an acknowledgement for the earlier process, and
/// would extend its lease far beyond its end on the earlier process's clock. If a poll has failed
/// or is long ago, the next one therefore only reads.
#[derive(Debug, Default)]
struct LastResponse(Option<(Name, u64)>);

impl LastResponse {
    fn is_recent_of(&self, id: &Name) -> bool {
        self.0.as_ref().is_some_and(|(responded, at_ms)| {
            responded == id && BootClock.now_ms() < at_ms + MAX_RESPONSE_AGE_MS
        })
    }

    fn forget(&mut self, id: &Name) {
        self.0.take_if(|(responded, _)| responded == id);
    }
}

/// Polls the minion until the process exits.
pub async fn poll_continuously(state: Arc<State>) {
    let mut last_full_report_ms = 0;
    let mut has_unacknowledged = false;
    let mut last_response = LastResponse::default();
    loop {
        let fence = state.fence.load(Ordering::SeqCst);
        let possible_incarnations = state.possible_incarnations();
        if fence == 0 || possible_incarnations.is_empty() {
            let _ = tokio::time::timeout(RETRY_PAUSE, state.poll_wakeup.notified()).await;
            continue;
        }
        for id in possible_incarnations {
            let unconfirmed = state.current_minion().is_none_or(|current| current.id != id)
                || !last_response.is_recent_of(&id);
            let wait = if unconfirmed || has_unacknowledged { Duration::ZERO } else { POLL_WAIT };
            let reported_before = state.reported_result_count();
            let (acknowledged, _) = if unconfirmed { (0, 0) } else { state.end_sequences() };
            let lease_end_ms =
                if unconfirmed { None } else { state.lease_end_on_minion_clock_ms() };
            let reply = state
                .minion
                .poll(&id, fence, acknowledged, lease_end_ms, wait, RESPONSE_TIMEOUT)
                .await;
            match reply {
                MinionReply::Ok(lists) => {
                    let now_ms = BootClock.now_ms();
                    state.record_response(&id, lists.clock_ms, now_ms);
                    last_response = LastResponse(Some((id.clone(), now_ms)));
                    has_unacknowledged =
                        report_lists(&state, &id, lists, reported_before, &mut last_full_report_ms);
                }
                other => {
                    handle_failure(&state, &id, &other);
                    last_response.forget(&id);
                    tokio::time::sleep(RETRY_PAUSE).await;
                }
            }
        }
        if has_unacknowledged {
            // While the minion lists ended tasks that are not acknowledged, it responds to polls at
            // once. Without the pause, this loop would read the same list repeatedly.
            let _ = tokio::time::timeout(ACKNOWLEDGEMENT_PAUSE, state.poll_wakeup.notified()).await;
            let (acknowledged, reported) = state.end_sequences();
            has_unacknowledged = acknowledged < reported;
        }
    }
}

/// Reports to the coordinator the lists that a poll has read. Returns whether the lists contain
/// ended tasks, which the coordinator has yet to acknowledge.
fn report_lists(
    state: &State,
    id: &Name,
    lists: TaskLists,
    reported_before: Option<u64>,
    last_full_report_ms: &mut u64,
) -> bool {
    let (_, reported) = state.end_sequences();
    let has_ends = !lists.ended.is_empty();
    let last_sequence = lists.ended.last().map(|end| end.sequence);
    let Some(orders_reported_before) =
        reported_before.filter(|_| state.reported_result_count().is_some())
    else {
        return has_ends;
    };
    let ended: Vec<_> = lists.ended.into_iter().filter(|end| end.sequence > reported).collect();
    let now_ms = BootClock.now_ms();
    let is_full =
        state.begin_report(last_sequence, now_ms >= *last_full_report_ms + FULL_REPORT_INTERVAL_MS);
    if is_full {
        *last_full_report_ms = now_ms;
    } else if ended.is_empty() {
        return has_ends;
    }
    let running = is_full.then_some(lists.running);
    let minion = id.clone();
    let more_ends = lists.more_ends;
    state.send(FromAgent::PollResult(PollResult {
        minion,
        running,
        ended,
        more_ends,
        orders_reported_before,
    }));
    has_ends
}

fn handle_failure(state: &State, id: &Name, reply: &MinionReply<TaskLists>) {
    match reply {
        MinionReply::IncarnationMismatch(other) => state.record_replaced(id, other.clone()),
        MinionReply::Superseded => {
            // The minion has accepted a call of a newer coordinator.
            spdlog::warn!("event=coordinator_superseded minion={id}");
            state.coordinator_may_be_replaced.store(true, Ordering::Relaxed);
        }
        MinionReply::Refused(why)
        | MinionReply::Unreachable(why)
        | MinionReply::NoResponse(why) => {
            spdlog::debug!("event=poll_failed minion={id} why=\"{why}\"");
        }
        MinionReply::Ok(_) => {}
    }
}
