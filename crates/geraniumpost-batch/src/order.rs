use std::sync::Arc;

use derive_more::Display;
use geraniumpost_schema::Name;
use serde::{Deserialize, Serialize};

use crate::TaskId;

/// What a minion is told to do with one run, passed on by its agent.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Order {
    /// The incarnation meant; any other must refuse.
    pub minion: Name,
    /// The task.
    pub task: TaskId,
    /// Number of the run.
    pub run: u32,
    /// What to do.
    pub kind: OrderKind,
}

/// What to do with a run.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum OrderKind {
    /// Begin it.
    Start {
        /// The job's payload.
        payload: Arc<str>,
        /// Checkpoint to go on from; empty for none.
        checkpoint: Name,
        /// The admission service's ticket; empty where none is needed.
        ticket: Name,
    },
    /// End it, or bar it if it is not there yet.
    Stop,
    /// Let it work at this share.
    Pace {
        /// 0 to 100.
        percent: u8,
    },
}

/// What became of an order.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct OrderResult {
    /// The incarnation the order was for.
    pub minion: Name,
    /// The task.
    pub task: TaskId,
    /// Number of the run.
    pub run: u32,
    /// Which kind of order it was.
    pub verb: OrderVerb,
    /// What the minion answered.
    pub outcome: OrderOutcome,
    /// Results that this agent has passed on, this one included.
    pub number: u64,
}

/// The kind of an order without its contents.
#[derive(Debug, Display, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum OrderVerb {
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

impl From<&OrderKind> for OrderVerb {
    fn from(kind: &OrderKind) -> Self {
        match kind {
            OrderKind::Start { .. } => Self::Start,
            OrderKind::Stop => Self::Stop,
            OrderKind::Pace { .. } => Self::Pace,
        }
    }
}

/// A minion's answer to an order.
#[derive(Debug, Display, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum OrderOutcome {
    /// Carried out, now or by an earlier copy of the order.
    #[display("carried out")]
    Done,
    /// A newer coordinator has given orders there.
    #[display("refused: newer coordinator")]
    Superseded,
    /// This run, or a later one, was stopped or ended there.
    #[display("refused: run is over")]
    RunIsOver,
    /// The order arrived after its deadline; nothing was done.
    #[display("refused: too late")]
    TooLate,
    /// It does not fit; nothing was done.
    #[display("refused: no capacity")]
    NoCapacity,
    /// The admission ticket is missing or has expired; nothing was done.
    #[display("refused: ticket")]
    BadTicket,
    /// The minion is unhealthy; nothing was done.
    #[display("refused: unhealthy")]
    Unhealthy,
    /// The minion calls the order malformed; nothing was done.
    #[display("refused: malformed")]
    Malformed,
    /// Another incarnation answered; the one meant is gone with all that it ran.
    #[display("minion has terminated")]
    MinionTerminated,
    /// The agent holds no lease to give, or the minion is leaving; the order was not sent.
    #[display("not sent")]
    NotSent,
    /// No answer: it may have been carried out, or may be later.
    #[display("no answer")]
    Unanswered,
}
