use derive_more::Display;

/// A violated guarantee about requests.
#[derive(Debug, Display, Clone, PartialEq, Eq)]
pub enum RequestViolation {
    /// A request ran although it was reported as not run.
    #[display("request {_0} was reported as not run and ran")]
    RanAlthoughNotRun(String),
    /// A non-idempotent request ran more than once.
    #[display("{operation} may run at most once and ran {runs} times")]
    RanTwice {
        /// Key of the request, or its id if it has none.
        operation: String,
        /// Number of runs.
        runs: usize,
    },
    /// The response belongs to another request or is incomplete.
    #[display("request {_0} got the response to another request or an incomplete one")]
    WrongAnswer(String),
    /// A request was answered although it did not run on any minion.
    #[display("request {_0} was answered without a run")]
    AnsweredWithoutRun(String),
    /// A minion had more requests in flight than slots.
    #[display("minion {_0} had more requests in flight than slots")]
    OverSlots(String),
}
