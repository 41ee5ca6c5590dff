use derive_more::Display;
use geraniumpost_schema::Outcome;

/// Reason why the queue refused a request, which therefore does not run.
#[derive(Debug, Display, Clone, Copy, PartialEq, Eq, Hash)]
pub enum Refusal {
    /// The queue is full, and no other customer with waiting requests is further above its share
    /// than the customer of the request.
    #[display("overloaded")]
    Overloaded,
    /// The request waited, and was removed from the full queue in favour of a request of a customer
    /// that is less far above its share.
    #[display("displaced")]
    Displaced,
    /// The request cannot be answered before its deadline.
    #[display("deadline")]
    Deadline,
    /// The agent is draining.
    #[display("draining")]
    Draining,
}

impl Refusal {
    /// Returns the outcome of the attempt that the agent reports to the entry.
    pub const fn outcome(self) -> Outcome {
        match self {
            Self::Overloaded | Self::Displaced => Outcome::NotRunOverloaded,
            Self::Deadline => Outcome::NotRunDeadline,
            Self::Draining => Outcome::NotRunDraining,
        }
    }
}
