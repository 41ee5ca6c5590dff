use derive_more::Display;
use geraniumpost_schema::Outcome;

/// Why a queue refused a request, which therefore certainly does not run.
#[derive(Debug, Display, Clone, Copy, PartialEq, Eq, Hash)]
pub enum Refusal {
    /// The queue is full and no other customer is further over its share.
    #[display("overloaded")]
    Overloaded,
    /// It waited, and a customer under its share took its place.
    #[display("displaced")]
    Displaced,
    /// It cannot be answered before its deadline.
    #[display("deadline")]
    Deadline,
    /// The agent is leaving.
    #[display("draining")]
    Draining,
}

impl Refusal {
    /// Returns the outcome that the entry is told.
    pub const fn outcome(self) -> Outcome {
        match self {
            Self::Overloaded | Self::Displaced => Outcome::NotRunOverloaded,
            Self::Deadline => Outcome::NotRunDeadline,
            Self::Draining => Outcome::NotRunDraining,
        }
    }
}
