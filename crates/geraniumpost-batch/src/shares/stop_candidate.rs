use super::StopReason;
use crate::{Demand, TaskId};

/// A run that may be stopped for a more urgent task.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct StopCandidate {
    /// Task of the run.
    pub task: TaskId,
    /// Why the run may be stopped.
    pub reason: StopReason,
    /// Work that the stop would lose, in processor milliseconds.
    pub lost_work: u64,
    /// Resources that become free.
    pub frees: Demand,
}
