use std::collections::VecDeque;

use geraniumpost_schema::Name;

use crate::tuning::STOP_RETRY_DELAY_MS;
use crate::{Incarnation, OrderResult, TaskId};

/// Time for which a start order that had no response is kept, in milliseconds. An order may be
/// carried out up to 12 s late; the margin allows for the time until the end of the run was known.
const RETENTION_MS: u64 = 15_000;
/// Maximum number of kept start orders; the oldest are dropped. Covers all tasks of the largest
/// deployment in docs/CAPACITY.md: after a takeover, the start of each of them may be unresolved.
const MAX_LATE_STARTS: usize = 8_192;
/// Minimum interval between two log lines on dropped start orders, in milliseconds.
const DROP_LOG_INTERVAL_MS: u64 = 1_000;

/// A run that is over for the coordinator, although a copy of its start order may still be carried
/// out.
#[derive(Debug)]
struct LateStart {
    /// Incarnation that the order was sent to.
    minion: Incarnation,
    task: TaskId,
    number: u32,
    until_ms: u64,
    /// The last process under the minion's id on which the run is stopped in advance.
    barred_on: Option<BarredOn>,
}

/// A process on which a run is stopped in advance.
#[derive(Debug)]
struct BarredOn {
    minion: Name,
    /// Time of the last stop order on the monotonic clock, or `None` once the minion has accepted
    /// one.
    unaccepted_since_ms: Option<u64>,
}

/// Start orders without a result whose runs are over, however they ended.
///
/// The minion itself rejects such an order, because the run was there or the order's deadline has
/// passed. A process that starts later under the same id knows nothing of the run, and its clock
/// begins again. The run must therefore be stopped there before the order arrives. See
/// docs/design/0701-restarts-under-one-id.md.
#[derive(Debug, Default)]
pub(super) struct LateStarts {
    /// Oldest first, and so in the order in which they expire.
    starts: VecDeque<LateStart>,
    /// Number of starts dropped for lack of space and not logged yet, and the time of the last log
    /// line on the monotonic clock.
    dropped: u64,
    drop_logged_ms: u64,
}

/// A stop order for a run that must not start any more.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(super) struct Bar {
    pub(super) minion: Name,
    pub(super) task: TaskId,
    pub(super) number: u32,
}

impl LateStarts {
    pub(super) fn record(&mut self, minion: &Name, task: TaskId, number: u32, now_ms: u64) {
        self.remove_expired(now_ms);
        if self.starts.len() == MAX_LATE_STARTS {
            self.starts.pop_front();
            self.dropped += 1;
        }
        let until_ms = now_ms + RETENTION_MS;
        let minion = Incarnation::from_name(minion);
        self.starts.push_back(LateStart { minion, task, number, until_ms, barred_on: None });
    }

    /// Returns the stop orders for a minion that was reported, if it is another process under the
    /// id of a minion with late starts.
    pub(super) fn bars_on(&mut self, minion: &Name, now_ms: u64) -> Vec<Bar> {
        self.remove_expired(now_ms);
        let reported = Incarnation::from_name(minion);
        let restarted =
            self.starts.iter_mut().filter(|start| start.minion.is_other_process_than(&reported));
        restarted
            .filter(|start| start.barred_on.as_ref().is_none_or(|on| on.minion != *minion))
            .map(|start| {
                let unaccepted_since_ms = Some(now_ms);
                start.barred_on = Some(BarredOn { minion: minion.clone(), unaccepted_since_ms });
                Bar { minion: minion.clone(), task: start.task, number: start.number }
            })
            .collect()
    }

    /// Returns the stop orders that have had no result for [`STOP_RETRY_DELAY_MS`].
    pub(super) fn due_bars(&mut self, now_ms: u64) -> Vec<Bar> {
        self.remove_expired(now_ms);
        let mut due = Vec::new();
        for start in &mut self.starts {
            let Some(BarredOn { minion, unaccepted_since_ms: Some(sent_ms) }) =
                &mut start.barred_on
            else {
                continue;
            };
            if now_ms >= *sent_ms + STOP_RETRY_DELAY_MS {
                *sent_ms = now_ms;
                due.push(Bar { minion: minion.clone(), task: start.task, number: start.number });
            }
        }
        due
    }

    /// Records that a minion has accepted to stop a run, so that the stop is not repeated there.
    ///
    /// The start stays: yet another process may start under the minion's id.
    pub(super) fn record_barred(&mut self, result: &OrderResult) {
        for start in &mut self.starts {
            let is_covered = start.task == result.task && start.number <= result.run;
            if let Some(on) = start.barred_on.as_mut().filter(|on| on.minion == result.minion)
                && is_covered
            {
                on.unaccepted_since_ms = None;
            }
        }
    }

    /// Returns the number of starts that were dropped since the last call that returned a number,
    /// or `None` if there are none or that call was too short a time ago.
    pub(super) fn take_dropped_count(&mut self, now_ms: u64) -> Option<u64> {
        if self.dropped == 0 || now_ms < self.drop_logged_ms + DROP_LOG_INTERVAL_MS {
            return None;
        }
        self.drop_logged_ms = now_ms;
        Some(std::mem::take(&mut self.dropped))
    }

    fn remove_expired(&mut self, now_ms: u64) {
        while self.starts.front().is_some_and(|start| now_ms >= start.until_ms) {
            self.starts.pop_front();
        }
    }
}
