use derive_more::Display;
use geraniumpost_schema::Name;
use serde::{Deserialize, Serialize};

use crate::TaskId;

/// What a minion's own lists say, as its agent read them.
#[derive(Debug, Clone, PartialEq, Eq, Default, Serialize, Deserialize)]
pub struct PollResult {
    /// The incarnation that answered.
    pub minion: Name,
    /// All that runs, or `None` in a look that only carries ends.
    pub running: Option<Vec<RunningTask>>,
    /// Ends that were not acknowledged yet, by rising number.
    pub ended: Vec<EndedTask>,
    /// Whether the minion has more unacknowledged ends than it listed.
    pub more_ends: bool,
    /// Orders whose results the agent had passed on before it began this look.
    pub orders_reported_before: u64,
}

/// A run that is there.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct RunningTask {
    /// The task.
    pub task: TaskId,
    /// Number of the run.
    pub run: u32,
    /// Its last checkpoint; empty for none.
    pub checkpoint: Name,
    /// How far it is.
    pub progress_percent: u8,
    /// Tail latency in milliseconds of a task that serves; thousandths of a processor in use else.
    pub gauge: u32,
}

/// A run that is over.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct EndedTask {
    /// Number of the end at this incarnation, from 1.
    pub sequence: u64,
    /// The task.
    pub task: TaskId,
    /// Number of the run.
    pub run: u32,
    /// How it ended.
    pub kind: EndKind,
    /// Its last checkpoint; empty for none.
    pub checkpoint: Name,
}

/// How a run ended.
#[derive(Debug, Display, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum EndKind {
    /// Its work is complete.
    #[display("done")]
    Done,
    /// It failed, through its own fault or the minion's.
    #[display("failed")]
    Failed,
    /// It was stopped by an order.
    #[display("stopped")]
    Stopped,
    /// The minion's lease ran out.
    #[display("lease_expired")]
    LeaseExpired,
    /// Another member of its gang ended.
    #[display("gang_member_ended")]
    GangMemberEnded,
    /// The other members of its gang did not come in time.
    #[display("gang_incomplete")]
    GangIncomplete,
}
