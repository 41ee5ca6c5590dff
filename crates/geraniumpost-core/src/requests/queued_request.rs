use geraniumpost_schema::{Name, RequestId};

use crate::Millis;

/// A request for a slot of the minion. `T` is the payload that the agent needs to run the request.
///
/// # Example
///
/// ```
/// use geraniumpost_core::{Millis, requests::QueuedRequest};
/// use geraniumpost_schema::RequestId;
/// let id = RequestId { entry: 1, sequence: 2 };
/// let request = QueuedRequest::new(id, "conida", Millis(2_000), "body").weight(3);
/// assert_eq!(request.into_payload(), "body");
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
    /// Returns a request of `customer` with weight 1, whose answer is useless after `deadline` on
    /// the clock of the agent.
    pub fn new(id: RequestId, customer: impl Into<Name>, deadline: Millis, payload: T) -> Self {
        Self { id, customer: customer.into(), weight: 1, deadline, payload }
    }

    /// Sets the weight by which the customer shares the slots with others; 0 counts as 1.
    #[must_use]
    pub const fn weight(mut self, weight: u32) -> Self {
        self.weight = if weight == 0 { 1 } else { weight };
        self
    }

    /// Identifier of the attempt, by which the queue finds the request.
    pub const fn id(&self) -> RequestId {
        self.id
    }

    /// Customer to whose share of the slots the request is charged.
    pub const fn customer(&self) -> &Name {
        &self.customer
    }

    /// Weight by which the customer shares the slots with others, at least 1.
    pub const fn share_weight(&self) -> u32 {
        self.weight
    }

    /// Time after which the answer is useless, on the clock of the agent.
    pub const fn deadline(&self) -> Millis {
        self.deadline
    }

    /// Data that the agent needs to run the request.
    pub const fn payload(&self) -> &T {
        &self.payload
    }

    /// Returns the payload without copying it.
    pub fn into_payload(self) -> T {
        self.payload
    }
}
