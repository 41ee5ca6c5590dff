use std::sync::Arc;

use derive_more::Display;
use geraniumpost_schema::Name;
use serde::{Deserialize, Serialize};

use crate::TaskId;

/// An instruction to a minion concerning one run. The minion's agent passes it on.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Order {
    /// The incarnation that the order is for; any other one refuses it.
    pub minion: Name,
    /// The task.
    pub task: TaskId,
    /// Number of the run.
    pub run: u32,
    /// What the minion shall do.
    pub kind: OrderKind,
}

/// What a minion shall do with a run.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum OrderKind {
    /// Start the run.
    Start {
        /// The job's payload.
        payload: Arc<str>,
        /// Id of the checkpoint to resume from; empty for none.
        checkpoint: Name,
        /// Ticket of the admission service; empty if none is required.
        ticket: Name,
    },
    /// Stop the run, or prevent it from starting later if it does not exist yet.
    Stop,
    /// Limit the run to a share of its speed.
    Pace {
        /// The share in percent, from 0 to 100.
        percent: u8,
    },
}

/// The result of an order.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct OrderResult {
    /// The incarnation that the order was for.
    pub minion: Name,
    /// The task.
    pub task: TaskId,
    /// Number of the run.
    pub run: u32,
    /// The kind of the order.
    pub kind_tag: OrderKindTag,
    /// The minion's response.
    pub outcome: OrderOutcome,
    /// Number of results that the agent has reported, including this one.
    pub results_reported: u64,
}

/// The kind of an order, without its contents.
#[derive(Debug, Display, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum OrderKindTag {
    /// [`OrderKind::Start`].
    #[display("start")]
    Start,
    /// [`OrderKind::Stop`].
    #[display("stop")]
    Stop,
    /// [`OrderKind::Pace`].
    #[display("pace")]
    Pace,
}

impl From<&OrderKind> for OrderKindTag {
    fn from(kind: &OrderKind) -> Self {
        match kind {
            OrderKind::Start { .. } => Self::Start,
            OrderKind::Stop => Self::Stop,
            OrderKind::Pace { .. } => Self::Pace,
        }
    }
}

/// A minion's response to an order.
#[derive(Debug, Display, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum OrderOutcome {
    /// The order is carried out, now or by an earlier copy of it.
    #[display("carried out")]
    Done,
    /// The minion has received orders from a newer coordinator.
    #[display("refused: newer coordinator")]
    Superseded,
    /// This run or a later run of the task has ended or was stopped on the minion.
    #[display("refused: run is over")]
    RunIsOver,
    /// The order arrived after its deadline and was not carried out.
    #[display("refused: too late")]
    TooLate,
    /// The minion lacks free resources; the order was not carried out.
    #[display("refused: no capacity")]
    NoCapacity,
    /// The admission ticket is missing or has expired; the order was not carried out.
    #[display("refused: ticket")]
    BadTicket,
    /// The minion is unhealthy; the order was not carried out.
    #[display("refused: unhealthy")]
    Unhealthy,
    /// The minion rejects the order as malformed; it was not carried out.
    #[display("refused: malformed")]
    Malformed,
    /// Another incarnation answered: the addressed one has terminated with all its runs.
    #[display("minion has terminated")]
    MinionTerminated,
    /// The agent did not send the order, because it holds no lease or the minion is leaving.
    #[display("not sent")]
    NotSent,
    /// The minion did not respond. The order may have been carried out, or may still be.
    #[display("no answer")]
    Unanswered,
}
