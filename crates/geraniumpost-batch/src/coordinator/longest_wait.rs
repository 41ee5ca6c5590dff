use super::Coordinator;
use crate::Now;

/// How long the task that waits longest has waited, in milliseconds; 0 if none waits.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct LongestWait {
    /// Of the standing tasks that are down: they wait for a place or to begin, or their minion cannot
    /// be reached.
    pub persistent_ms: u64,
    /// Of all other tasks that wait for a place, since their step last got one.
    pub other_ms: u64,
}

impl Coordinator {
    /// Returns how long the tasks that wait longest have waited, as the last tick saw them.
    ///
    /// A standing task counts from the end of its last run, or from when its minion could not be
    /// reached any more, as far as this coordinator knows; after a takeover from that.
    pub fn longest_wait(&self, now: Now) -> LongestWait {
        let down = self.waits.down.iter().filter(|(task, _)| self.open.contains(&task.job));
        let steps = self.waits.steps.iter().filter(|(key, _)| self.open.contains(&key.0));
        let others = steps.filter(|(_, step)| !step.standing).map(|(_, step)| step.since_ms);
        let waited_ms = |since_ms: Option<u64>| {
            since_ms.map_or(0, |since_ms| now.steady_ms.saturating_sub(since_ms))
        };
        LongestWait {
            persistent_ms: waited_ms(down.map(|(_, since_ms)| *since_ms).min()),
            other_ms: waited_ms(others.min()),
        }
    }
}
