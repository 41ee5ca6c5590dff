use derive_more::Display;

/// A broken promise about requests.
#[derive(Debug, Display, Clone, PartialEq, Eq)]
pub enum RequestViolation {
    /// A caller was told "not run" of a request that ran.
    #[display("request {_0} was told \"not run\" and ran")]
    RanAlthoughNotRun(String),
    /// A non-idempotent request ran more than once.
    #[display("{intention} may run at most once and ran {runs} times")]
    RanTwice {
        /// Key or id of the request.
        intention: String,
        /// Number of runs.
        runs: usize,
    },
    /// An answer is not the request's own or not whole.
    #[display("request {_0} got an answer that is not its own")]
    WrongAnswer(String),
    /// An answer came although nothing ran.
    #[display("request {_0} was answered without a run")]
    AnsweredWithoutRun(String),
    /// A minion was given more requests at once than it has slots.
    #[display("minion {_0} was given more requests than it has slots")]
    OverSlots(String),
}
