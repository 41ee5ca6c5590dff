use std::sync::Arc;

use derive_more::Display;
use geraniumpost_schema::Name;
use serde::{Deserialize, Deserializer, Serialize};

use crate::TaskId;

/// An instruction to a minion that concerns one run. The agent on the minion's VM passes it on.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Order {
    /// Name of the incarnation that the order is for; any other incarnation refuses the order.
    pub minion: Name,
    /// Task that the run belongs to.
    pub task: TaskId,
    /// Number of the run; a task's later runs have higher numbers.
    pub run: u32,
    /// What the minion has to do with the run.
    pub kind: OrderKind,
}

/// What an order asks a minion to do with a run.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum OrderKind {
    /// Start the run, unless it was started or stopped before.
    Start {
        /// The payload that was submitted with the job.
        payload: Arc<str>,
        /// Id of the checkpoint to resume from; empty for none.
        checkpoint: Name,
        /// Ticket of the admission service; empty if none is required.
        ticket: Name,
        /// Time on the agent's monotonic clock from which the agent must not send the order any
        /// more, in milliseconds; `None` for no limit. Coordinators of earlier versions omit this
        /// field, and agents of earlier versions ignore it.
        #[serde(deserialize_with = "some_or_none")]
        expires_ms: Option<u64>,
        /// Pace that the agent sets directly after the start, in percent; `None` for full speed.
        /// Coordinators of earlier versions omit this field, and agents of earlier versions ignore
        /// it, so that the coordinator repeats the pace after the start.
        #[serde(deserialize_with = "some_or_none")]
        pace_percent: Option<u8>,
    },
    /// Stop the run, or prevent it from starting later if it does not exist yet.
    Stop,
    /// Limit the run to a share of its full speed.
    Pace {
        /// The share in percent, from 0 to 100.
        percent: u8,
    },
}

/// Reads one of the last fields of an order, which earlier versions omit.
#[expect(clippy::unnecessary_wraps, reason = "serde requires this signature")]
fn some_or_none<'de, D, T>(deserializer: D) -> Result<Option<T>, D::Error>
where
    D: Deserializer<'de>,
    T: Deserialize<'de>,
{
    Ok(Option::deserialize(deserializer).unwrap_or_default())
}

/// The result of an order, as the agent reports it to the coordinator.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct OrderResult {
    /// Name of the incarnation that the order was for.
    pub minion: Name,
    /// Task of the run that the order was for.
    pub task: TaskId,
    /// Number of the run that the order was for.
    pub run: u32,
    /// Kind of the order that led to this result.
    pub kind_tag: OrderKindTag,
    /// The minion's response, or why there is none.
    pub outcome: OrderOutcome,
    /// Number of order results that the agent has reported, including this one. A later poll has at
    /// least this number in
    /// [`PollResult::orders_reported_before`](crate::PollResult::orders_reported_before).
    pub results_reported: u64,
}

/// The kind of an order, without the payload, ticket or pace of an [`OrderKind`].
#[derive(Debug, Display, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum OrderKindTag {
    /// Start the run.
    #[display("start")]
    Start,
    /// Stop the run, or prevent it from starting.
    #[display("stop")]
    Stop,
    /// Limit the run's speed.
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

/// Outcome of an order: the minion's response, or why there is none.
#[derive(Debug, Display, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum OrderOutcome {
    /// The order was carried out, on arrival of this copy or of an earlier copy.
    #[display("carried out")]
    Done,
    /// The minion has accepted a call with a higher fencing token, from a newer coordinator.
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
    /// Another incarnation responded: the addressed incarnation has terminated with all its runs.
    #[display("minion has terminated")]
    MinionTerminated,
    /// The agent did not send the order, because it holds no lease or the minion is about to
    /// terminate.
    #[display("not sent")]
    NotSent,
    /// The minion did not respond. The order may have been carried out, or may be carried out
    /// later.
    #[display("no answer")]
    NoResponse,
}
