use super::Coordinator;
use crate::Now;

/// Longest waits of tasks, in milliseconds; 0 if none waits.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct LongestWait {
    /// Longest wait of a persistent task that is down: it waits for a placement or for its start,
    /// or its minion is unreachable.
    pub persistent_ms: u64,
    /// Longest wait of any other task for a placement, counted from the last placement of a task of
    /// its step; if none was placed yet, from the check that first found the step waiting.
    pub other_ms: u64,
}

impl Coordinator {
    /// Returns the longest waits, as of the last check of waiting tasks.
    ///
    /// The wait of a persistent task begins with the end of its last run or when its minion became
    /// unreachable, as far as this coordinator knows: after a takeover, the wait begins with the
    /// first check.
    pub fn longest_wait(&self, now: Now) -> LongestWait {
        let down = self
            .wait_state
            .down_since_ms
            .iter()
            .filter(|(task, _)| self.open_jobs.contains(&task.job));
        let steps = self.wait_state.steps.iter().filter(|(key, _)| self.open_jobs.contains(&key.0));
        let others = steps.filter(|(_, step)| !step.persistent).map(|(_, step)| step.since_ms);
        let waited_ms = |since_ms: Option<u64>| {
            since_ms.map_or(0, |since_ms| now.steady_ms.saturating_sub(since_ms))
        };
        LongestWait {
            persistent_ms: waited_ms(down.map(|(_, since_ms)| *since_ms).min()),
            other_ms: waited_ms(others.min()),
        }
    }
}
