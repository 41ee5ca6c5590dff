use geraniumpost_schema::Name;

use crate::Millis;

/// What a routing decision must know of a request.
#[derive(Debug, Clone, Copy, Default)]
pub struct RoutingQuery<'a> {
    pub(super) now: Millis,
    pub(super) tried: &'a [Name],
    pub(super) retryable: bool,
}

impl<'a> RoutingQuery<'a> {
    /// Returns the question at instant `now` for a request that was sent nowhere yet.
    pub const fn new(now: Millis) -> Self {
        Self { now, tried: &[], retryable: false }
    }

    /// Sets the agents that earlier attempts of the request went to; none of them is chosen.
    #[must_use]
    pub const fn tried(mut self, tried: &'a [Name]) -> Self {
        self.tried = tried;
        self
    }

    /// Sets whether the request may be sent again if it fails, so that it may serve as a probe.
    #[must_use]
    pub const fn retryable(mut self, retryable: bool) -> Self {
        self.retryable = retryable;
        self
    }
}
