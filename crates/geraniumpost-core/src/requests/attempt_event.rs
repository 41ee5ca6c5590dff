use geraniumpost_schema::{AskVerdict, Outcome};

/// Event that an entry observes for the current attempt of a request, from which
/// [`super::RetryPolicy`] decides the next step.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum AttemptEvent {
    /// Routing found no agent that accepts the request.
    NoAgent,
    /// The link failed before a byte of the request was written.
    NeverSent,
    /// The agent reported the outcome of the attempt.
    Outcome {
        /// Whether the attempt ran, and how it ended.
        outcome: Outcome,
        /// Advised delay before a retry in milliseconds, 0 if the agent gave none.
        retry_after_ms: u64,
    },
    /// The link was lost after a byte of the request was written.
    LinkLost,
    /// The link does not answer pings.
    LinkUnresponsive,
    /// The agent answered a query about the attempt.
    Verdict(AskVerdict),
    /// A query about the attempt could not be sent or was not answered in time.
    AskFailed,
    /// The agent has restarted since the attempt was sent.
    AgentRestarted,
    /// The deadline of the request has passed at the entry.
    DeadlinePassed {
        /// Whether a byte of the current attempt may have been written to a link.
        sent: bool,
    },
}
