use derive_more::Display;

use crate::ResultCode;

/// Next action of an entry for a request. `Display` gives the text for the log.
#[derive(Debug, Display, Clone, Copy, PartialEq, Eq)]
pub enum NextStep {
    /// Return the answer of the minion to the caller.
    #[display("deliver")]
    Deliver,
    /// Send the request to another agent under a new attempt number.
    ///
    /// For a keyed request, the claim is first moved from the agent that just barred the key, by
    /// compare-and-swap on the claim as it was read. If that fails, the request follows the new
    /// claim.
    #[display("retry")]
    Retry,
    /// Query the agent over another link about the attempt, for a keyed request by its key.
    #[display("ask after={after_ms}ms")]
    Ask {
        /// Delay before the query, in milliseconds.
        after_ms: u64,
    },
    /// Continue to wait for the answer.
    #[display("wait")]
    Wait,
    /// Answer the caller now with a result code.
    #[display("answer code={code} retry_after={retry_after_ms}ms")]
    Answer {
        /// Final result of the request.
        code: ResultCode,
        /// Advised delay before a retry by the caller, 0 for no advice.
        retry_after_ms: u64,
    },
}
