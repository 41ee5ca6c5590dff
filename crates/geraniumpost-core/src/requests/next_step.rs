use derive_more::Display;

use crate::ResultCode;

/// Next step of an entry for a request. `Display` gives the text for the log.
#[derive(Debug, Display, Clone, Copy, PartialEq, Eq)]
pub enum NextStep {
    /// Return the answer of the minion to the caller.
    #[display("deliver")]
    Deliver,
    /// Send the request to another agent under a new attempt number.
    ///
    /// For a keyed request, the entry first moves the key claim in the store from the agent that
    /// just barred the key, by compare-and-swap on the claim as it was read. If the swap fails, the
    /// request follows the new claim.
    #[display("retry")]
    Retry,
    /// Send the agent a query about the attempt over another link; for a keyed request, about its
    /// key.
    #[display("ask after={after_ms}ms")]
    Ask {
        /// Delay before the query, in milliseconds.
        after_ms: u64,
    },
    /// Continue to wait for the answer.
    #[display("wait")]
    Wait,
    /// Report a result code to the caller instead of an answer of the minion.
    #[display("answer code={code} retry_after={retry_after_ms}ms")]
    Answer {
        /// Result reported to the caller.
        code: ResultCode,
        /// Advised delay before a retry by the caller, in milliseconds; 0 if a retry is not
        /// advised.
        retry_after_ms: u64,
    },
}
