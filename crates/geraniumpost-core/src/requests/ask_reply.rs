use geraniumpost_schema::{AskVerdict, RequestId};

/// What an agent knows about an attempt for which it received a query.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum AskReply<A> {
    /// The attempt has not started and never will, because the query barred it. The agent removes
    /// it from the queue and refuses the attempts in `joined`, which waited for its answer.
    NeverStarted {
        /// Attempts with the same key, to be answered as not run.
        joined: Vec<RequestId>,
    },
    /// The attempt is running, and its answer will follow.
    Running,
    /// The attempt has run with this answer.
    Finished(A),
    /// The attempt has run, and its answer is no longer kept.
    AnswerLost,
    /// The agent cannot know, because it has restarted or has dropped the record.
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
