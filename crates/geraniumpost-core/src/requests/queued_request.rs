use geraniumpost_schema::{Name, RequestId};

use crate::Millis;

/// A request that asks an agent for a slot; `T` is whatever the shell needs to run it.
///
/// # Example
///
/// ```
/// use geraniumpost_core::{Millis, requests::QueuedRequest};
/// use geraniumpost_schema::RequestId;
/// let id = RequestId { entry: 1, sequence: 2 };
/// let waiting = QueuedRequest::new(id, "conida", Millis(2_000), "body").weight(3);
/// assert_eq!(waiting.into_payload(), "body");
/// ```
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct QueuedRequest<T> {
    id: RequestId,
    customer: Name,
    weight: u32,
    deadline: Millis,
    payload: T,
}

impl<T> QueuedRequest<T> {
    /// Returns a request of `customer` that is of no use after `deadline`, with weight 1.
    pub fn new(id: RequestId, customer: impl Into<Name>, deadline: Millis, payload: T) -> Self {
        Self { id, customer: customer.into(), weight: 1, deadline, payload }
    }

    /// Sets the customer's share weight; 0 counts as 1.
    #[must_use]
    pub const fn weight(mut self, weight: u32) -> Self {
        self.weight = if weight == 0 { 1 } else { weight };
        self
    }

    /// Identity of the attempt.
    pub const fn id(&self) -> RequestId {
        self.id
    }

    /// Customer who pays with its share.
    pub const fn customer(&self) -> &Name {
        &self.customer
    }

    /// Share weight of the customer, at least 1.
    pub const fn share_weight(&self) -> u32 {
        self.weight
    }

    /// When the answer is of no use any more, on the agent's own clock.
    pub const fn deadline(&self) -> Millis {
        self.deadline
    }

    /// The shell's own part.
    pub const fn payload(&self) -> &T {
        &self.payload
    }

    /// Gives the shell's own part back.
    pub fn into_payload(self) -> T {
        self.payload
    }
}
