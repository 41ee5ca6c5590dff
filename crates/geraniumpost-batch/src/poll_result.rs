use derive_more::Display;
use geraniumpost_schema::Name;
use serde::{Deserialize, Serialize};

use crate::TaskId;

/// A minion's lists of running and ended tasks, as its agent read them in one poll.
#[derive(Debug, Clone, PartialEq, Eq, Default, Serialize, Deserialize)]
pub struct PollResult {
    /// Name of the incarnation that responded to the poll.
    pub minion: Name,
    /// All running tasks, or `None` if the poll read only ended tasks.
    pub running: Option<Vec<RunningTask>>,
    /// Ended tasks that are not acknowledged yet, by ascending sequence number.
    pub ended: Vec<EndedTask>,
    /// Whether the minion has further unacknowledged ended tasks that are not in the list.
    pub more_ends: bool,
    /// Number of order results that the agent had reported before it began this poll.
    pub orders_reported_before: u64,
}

/// A run that exists on a minion.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct RunningTask {
    /// Task that the run belongs to.
    pub task: TaskId,
    /// Number of the run within its task.
    pub run: u32,
    /// Id of the task's last checkpoint; empty for none.
    pub checkpoint: Name,
    /// Reported by the task, from 0 to 100. A run whose progress does not change is stopped as
    /// stalled, unless it has reached 100 or is suspended.
    pub progress_percent: u8,
    /// For a serving task its tail latency in milliseconds, for any other task its processor use in
    /// thousandths of a processor.
    pub measurement: u32,
}

/// A run that has ended.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct EndedTask {
    /// Sequence number among the ended tasks of this incarnation, from 1.
    pub sequence: u64,
    /// Task that the run belongs to.
    pub task: TaskId,
    /// Number of the run within its task.
    pub run: u32,
    /// Whether the task is done, or else why the run ended.
    pub kind: EndKind,
    /// Id of the task's last checkpoint; empty for none.
    pub checkpoint: Name,
}

/// Why a run ended.
#[derive(Debug, Display, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum EndKind {
    /// The task's work is complete.
    #[display("done")]
    Done,
    /// The run failed, through a fault of the task or of the minion.
    #[display("failed")]
    Failed,
    /// An order stopped the run.
    #[display("stopped")]
    Stopped,
    /// The minion ended the run because the lease on its tasks expired.
    #[display("lease_expired")]
    LeaseExpired,
    /// Another member of the run's gang ended.
    #[display("gang_member_ended")]
    GangMemberEnded,
    /// The other members of the run's gang did not start in time.
    #[display("gang_incomplete")]
    GangIncomplete,
}
