use geraniumpost_schema::Name;

use crate::Millis;

/// What a routing decision must know of a request.
#[derive(Debug, Clone, Copy, Default)]
pub struct RouteAsk<'a> {
    pub(super) now: Millis,
    pub(super) tried: &'a [Name],
    pub(super) harmless: bool,
}

impl<'a> RouteAsk<'a> {
    /// Returns the question at instant `now` for a request that was sent nowhere yet.
    pub const fn new(now: Millis) -> Self {
        Self { now, tried: &[], harmless: false }
    }

    /// Sets the agents that earlier attempts of the request went to; none of them is chosen.
    #[must_use]
    pub const fn tried(mut self, tried: &'a [Name]) -> Self {
        self.tried = tried;
        self
    }

    /// Sets whether the request may be sent again if it fails, so that it may serve as a probe.
    #[must_use]
    pub const fn harmless(mut self, harmless: bool) -> Self {
        self.harmless = harmless;
        self
    }
}
