use derive_more::Display;
use geraniumpost_schema::Name;
use serde::{Deserialize, Serialize};

use crate::TaskId;

/// A minion's lists of running and ended tasks, as its agent read them in one poll.
#[derive(Debug, Clone, PartialEq, Eq, Default, Serialize, Deserialize)]
pub struct PollResult {
    /// The incarnation that answered.
    pub minion: Name,
    /// All running tasks, or `None` if the poll read only ended ones.
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
    /// The task.
    pub task: TaskId,
    /// Number of the run.
    pub run: u32,
    /// Id of the task's last checkpoint; empty for none.
    pub checkpoint: Name,
    /// Progress of the run in percent.
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
    /// The task.
    pub task: TaskId,
    /// Number of the run.
    pub run: u32,
    /// How it ended.
    pub kind: EndKind,
    /// Id of the task's last checkpoint; empty for none.
    pub checkpoint: Name,
}

/// How a run ended.
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
    /// The minion's lease expired.
    #[display("lease_expired")]
    LeaseExpired,
    /// Another member of its gang ended.
    #[display("gang_member_ended")]
    GangMemberEnded,
    /// The other members of its gang did not start in time.
    #[display("gang_incomplete")]
    GangIncomplete,
}
