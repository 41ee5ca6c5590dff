use serde::{Deserialize, Serialize};

/// Crashes of minions under a task since the task was last known to work.
#[derive(Debug, Clone, PartialEq, Eq, Default, Serialize, Deserialize)]
pub struct TaskCrashes {
    /// Numbers of the runs under which a minion has crashed.
    pub runs: Vec<u32>,
    /// How many of these runs were not known to have worked for a second.
    pub at_start: u32,
}
