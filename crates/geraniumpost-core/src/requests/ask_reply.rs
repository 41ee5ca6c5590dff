use geraniumpost_schema::{AskVerdict, RequestId};

/// Reply of an agent to a query about an attempt or an idempotency key.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum AskReply<A> {
    /// The attempt has not started and never will, because the query prevents a later start. The
    /// agent must remove the attempt from the queue, and refuse the attempts in `joined`, which
    /// waited for its answer.
    NeverStarted {
        /// Attempts with the same key, which must be refused as not run.
        joined: Vec<RequestId>,
    },
    /// The attempt runs, or has joined an attempt that waits or runs. The answer follows.
    Running,
    /// The attempt has ended with this answer.
    Finished(A),
    /// The attempt has run, and its answer is no longer kept.
    AnswerLost,
    /// It is unknown whether the attempt has run, because the agent has restarted or has dropped
    /// the record.
    Unknown,
}

impl<A> AskReply<A> {
    /// Returns the verdict sent to the entry. A lost answer leaves the outcome unknown.
    pub const fn verdict(&self) -> AskVerdict {
        match self {
            Self::NeverStarted { .. } => AskVerdict::NeverStarted,
            Self::Running => AskVerdict::Running,
            Self::Finished(_) => AskVerdict::Finished,
            Self::AnswerLost | Self::Unknown => AskVerdict::Unknown,
        }
    }
}
