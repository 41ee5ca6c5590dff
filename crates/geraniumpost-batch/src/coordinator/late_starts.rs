use std::collections::VecDeque;

use geraniumpost_schema::Name;

use crate::tuning::STOP_RETRY_DELAY_MS;
use crate::{Incarnation, OrderResult, TaskId};

/// Time for which a start order that had no response is kept, in milliseconds. An order may be
/// carried out up to 12 s late; the margin allows for the time until the end of the run was known.
const RETENTION_MS: u64 = 15_000;
/// Maximum number of kept start orders; the oldest are dropped. A fleet that is cut off leaves one
/// for each task that was being placed at that moment.
const MAX_LATE_STARTS: usize = 512;

/// A run that is over for the coordinator, although a copy of its start order may still be carried
/// out.
#[derive(Debug)]
struct LateStart {
    minion: Name,
    task: TaskId,
    number: u32,
    until_ms: u64,
    /// Another process under the minion's id on which the run is being stopped in advance, and the
    /// time of the last stop order on the monotonic clock.
    barred_on: Option<(Name, u64)>,
}

/// Start orders without a result whose runs ended with the lease or with the minion.
///
/// The minion itself rejects such an order, because its deadline has passed. A process that starts
/// later under the same id does not: its clock begins again. The run must therefore be stopped there
/// before the order arrives.
#[derive(Debug, Default)]
pub(super) struct LateStarts(VecDeque<LateStart>);

/// A stop order for a run that must not start any more.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(super) struct Bar {
    pub(super) minion: Name,
    pub(super) task: TaskId,
    pub(super) number: u32,
}

impl LateStarts {
    pub(super) fn record(&mut self, minion: &Name, task: TaskId, number: u32, now_ms: u64) {
        if self.0.len() == MAX_LATE_STARTS {
            self.0.pop_front();
        }
        let until_ms = now_ms + RETENTION_MS;
        let minion = minion.clone();
        self.0.push_back(LateStart { minion, task, number, until_ms, barred_on: None });
    }

    /// Returns the stop orders for a minion that was reported, if it is another process under the
    /// id of a minion with late starts.
    pub(super) fn bars_on(&mut self, minion: &Name, now_ms: u64) -> Vec<Bar> {
        self.0.retain(|start| now_ms < start.until_ms);
        let restarted =
            self.0.iter_mut().filter(|start| Incarnation::is_other_process(&start.minion, minion));
        restarted
            .filter(|start| start.barred_on.as_ref().is_none_or(|(on, _)| on != minion))
            .map(|start| {
                start.barred_on = Some((minion.clone(), now_ms));
                Bar { minion: minion.clone(), task: start.task, number: start.number }
            })
            .collect()
    }

    /// Returns the stop orders that have had no result for [`STOP_RETRY_DELAY_MS`].
    pub(super) fn due_bars(&mut self, now_ms: u64) -> Vec<Bar> {
        self.0.retain(|start| now_ms < start.until_ms);
        let mut due = Vec::new();
        for start in &mut self.0 {
            let Some((minion, sent_ms)) = &mut start.barred_on else { continue };
            if now_ms >= *sent_ms + STOP_RETRY_DELAY_MS {
                *sent_ms = now_ms;
                due.push(Bar { minion: minion.clone(), task: start.task, number: start.number });
            }
        }
        due
    }

    /// Forgets a start whose run a minion has accepted to stop.
    pub(super) fn record_barred(&mut self, result: &OrderResult) {
        self.0.retain(|start| {
            let is_barred = start.barred_on.as_ref().is_some_and(|(on, _)| *on == result.minion);
            !(is_barred && start.task == result.task && start.number <= result.run)
        });
    }
}
