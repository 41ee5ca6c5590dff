use geraniumpost_schema::Name;
use serde::{Deserialize, Serialize};

use crate::Demand;

/// A step of a job: `count` tasks of the same kind.
#[derive(Debug, Clone, PartialEq, Eq, Default, Serialize, Deserialize)]
#[allow(clippy::struct_excessive_bools, reason = "each is a separate option of the submitter")]
pub struct StepSpec {
    /// Number of tasks in each occurrence, at least 1 in a valid specification.
    pub count: u32,
    /// Resources that one task occupies.
    pub demand: Demand,
    /// Estimated duration of one task in milliseconds, declared by the submitter; may be far off.
    pub estimate_ms: u32,
    /// Numbers of the steps whose tasks must all be done before this step starts.
    pub after: Vec<u16>,
    /// Whether a stopped task can resume from its last checkpoint.
    pub checkpoints: bool,
    /// Whether the tasks form a gang: its members only run together, and all end when any of them
    /// ends.
    pub gang: bool,
    /// Whether the tasks run more slowly if they are spread over several racks.
    pub same_rack: bool,
    /// Label that a minion must have; empty for none.
    pub required_label: Name,
    /// Rack that stores the step's data; empty for none.
    pub data_rack: Name,
    /// Maximum number of tasks of the step on one minion; 0 for no limit.
    pub max_per_minion: u32,
    /// Whether several runs of a task may exist at the same time.
    pub copies_allowed: bool,
    /// Whether the tasks run until the job is cancelled and are restarted when they end.
    pub persistent: bool,
    /// The program that the tasks run. Tasks of the same image are assumed to behave alike.
    pub image: Name,
    /// Bound on the tail latency of a serving task in milliseconds; 0 if the tasks serve no users.
    pub latency_bound_ms: u32,
    /// Whether the tasks use only processor time that other tasks leave idle.
    pub best_effort: bool,
    /// Number of tasks of a persistent step that the coordinator's own orders may interrupt at the
    /// same time.
    pub disruption_budget: u32,
}

impl StepSpec {
    /// Returns whether the tasks serve users within a bound on their tail latency.
    pub const fn is_serving(&self) -> bool {
        self.latency_bound_ms > 0
    }
}
