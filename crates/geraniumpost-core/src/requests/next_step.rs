use derive_more::Display;

use crate::ResultCode;

/// What an entry does next with a request; its `Display` is for the log.
#[derive(Debug, Display, Clone, Copy, PartialEq, Eq)]
pub enum NextStep {
    /// Hand the minion's answer to the caller.
    #[display("deliver")]
    Deliver,
    /// Send it to another agent under a new attempt number.
    ///
    /// A keyed request first moves its claim from the agent that just barred the key, by
    /// compare-and-swap on the claim as it was read; if that fails, it follows the claim.
    #[display("retry")]
    Retry,
    /// Ask the agent over another link what became of the attempt, for a keyed request by its key.
    #[display("ask after={after_ms}ms")]
    Ask {
        /// Pause before the question, in milliseconds.
        after_ms: u64,
    },
    /// Keep waiting for the answer.
    #[display("wait")]
    Wait,
    /// Answer the caller now.
    #[display("answer code={code} retry_after={retry_after_ms}ms")]
    Answer {
        /// Final result.
        code: ResultCode,
        /// When to come back, 0 for no advice.
        retry_after_ms: u64,
    },
}
