use super::Coordinator;
use crate::Now;

/// How long the task that waits longest has waited, in milliseconds; 0 if none waits.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct LongestWait {
    /// Of persistent tasks that are down: they wait for a place or for their start, or their minion
    /// is unreachable.
    pub persistent_ms: u64,
    /// Of all other tasks that wait for a place, since a task of their step last got one.
    pub other_ms: u64,
}

impl Coordinator {
    /// Returns the longest waits, as of the last check of waiting tasks.
    ///
    /// A persistent task counts from the end of its last run, or from when its minion became
    /// unreachable, as far as this coordinator knows: after a takeover, from its first check.
    pub fn longest_wait(&self, now: Now) -> LongestWait {
        let down =
            self.wait_state.down.iter().filter(|(task, _)| self.open_jobs.contains(&task.job));
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
