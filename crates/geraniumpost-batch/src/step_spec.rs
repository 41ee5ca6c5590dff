use geraniumpost_schema::Name;
use serde::{Deserialize, Serialize};

use crate::Demand;

/// One step of a job: `count` tasks of the same kind.
#[derive(Debug, Clone, PartialEq, Eq, Default, Serialize, Deserialize)]
#[allow(clippy::struct_excessive_bools, reason = "each is a separate wish of the submitter")]
pub struct StepSpec {
    /// Number of tasks.
    pub count: u32,
    /// What one task occupies.
    pub demand: Demand,
    /// Rough length of one task in milliseconds; declared figures are far off at times.
    pub estimate_ms: u32,
    /// Steps whose tasks must all be done first.
    pub after: Vec<u16>,
    /// Whether a stopped task can go on from its last checkpoint.
    pub checkpoints: bool,
    /// Whether the tasks only work together and end together.
    pub gang: bool,
    /// Whether the tasks are slowed down when they run on more than one rack.
    pub same_rack: bool,
    /// Label that the minion must have; empty for none.
    pub required_label: Name,
    /// Rack on which the data lies; empty for none.
    pub data_rack: Name,
    /// Most tasks of the step on one minion; 0 for no bound.
    pub max_per_minion: u32,
    /// Whether copies of a task may run at once.
    pub copies_allowed: bool,
    /// Whether the tasks run until the job is cancelled.
    pub persistent: bool,
    /// What the tasks run; tasks of one image behave alike.
    pub image: Name,
    /// Bound on the tail latency of a task that serves users, in milliseconds; 0 for none.
    pub latency_bound_ms: u32,
    /// Whether the tasks take only processor time that others leave over.
    pub best_effort: bool,
    /// How many tasks of a persistent step may be away at once through orders of ours.
    pub disruption_budget: u32,
}

impl StepSpec {
    /// Returns whether the step serves users within a bound on its tail latency.
    pub const fn serves(&self) -> bool {
        self.latency_bound_ms > 0
    }
}
