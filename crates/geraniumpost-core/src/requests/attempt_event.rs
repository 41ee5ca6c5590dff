use geraniumpost_schema::{AskVerdict, Outcome};

/// What an entry learns about the attempt under way.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum AttemptEvent {
    /// Routing found no agent.
    NoAgent,
    /// The link failed before a byte of the request was written.
    NeverSent,
    /// The agent's final word.
    Outcome {
        /// What became of the attempt.
        outcome: Outcome,
        /// When to come back, 0 if unknown.
        retry_after_ms: u64,
    },
    /// The link was lost after a byte of the request was written.
    LinkLost,
    /// The link does not answer pings.
    LinkUnresponsive,
    /// The agent's answer to a question.
    Verdict(AskVerdict),
    /// The question could not be put or was not answered in time.
    AskFailed,
    /// The agent was restarted since the attempt was sent.
    AgentRestarted,
    /// The request's deadline has passed at the entry.
    DeadlinePassed {
        /// Whether a byte of the present attempt may have been written to a link.
        sent: bool,
    },
}
