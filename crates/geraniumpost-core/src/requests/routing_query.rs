use geraniumpost_schema::Name;

use crate::Millis;

/// Properties of a request on which a routing decision depends.
#[derive(Debug, Clone, Copy, Default)]
pub struct RoutingQuery<'a> {
    pub(super) now: Millis,
    pub(super) tried: &'a [Name],
    pub(super) retryable: bool,
}

impl<'a> RoutingQuery<'a> {
    /// Returns the query at time `now` for a request without earlier attempts.
    pub const fn new(now: Millis) -> Self {
        Self { now, tried: &[], retryable: false }
    }

    /// Sets the agents of earlier attempts at the request, none of which is chosen again.
    #[must_use]
    pub const fn tried(mut self, tried: &'a [Name]) -> Self {
        self.tried = tried;
        self
    }

    /// Sets whether the request can be sent to another agent if it fails. Such a request is
    /// preferred as a probe of an ejected agent.
    #[must_use]
    pub const fn retryable(mut self, retryable: bool) -> Self {
        self.retryable = retryable;
        self
    }
}
