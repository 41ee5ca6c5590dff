use geraniumpost_schema::{AskVerdict, RequestId};

/// What an agent knows of an attempt it is asked about.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum AskReply<A> {
    /// It has not started and never will: the question barred it. The shell takes it out of the
    /// queue and refuses the attempts in `joined`, which waited for its answer.
    NeverStarted {
        /// Attempts with the same key, to be answered as not run.
        joined: Vec<RequestId>,
    },
    /// It runs; its answer will come.
    Running,
    /// It ran, and this is its answer.
    Finished(A),
    /// It ran, and its answer is not kept any more.
    AnswerLost,
    /// The agent cannot know: it was restarted since, or it has forgotten.
    Unknown,
}

impl<A> AskReply<A> {
    /// Returns the reply's verdict on the wire; a lost answer leaves the outcome unknown.
    pub const fn verdict(&self) -> AskVerdict {
        match self {
            Self::NeverStarted { .. } => AskVerdict::NeverStarted,
            Self::Running => AskVerdict::Running,
            Self::Finished(_) => AskVerdict::Finished,
            Self::AnswerLost | Self::Unknown => AskVerdict::Unknown,
        }
    }
}
