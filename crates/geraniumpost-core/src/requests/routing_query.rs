use geraniumpost_schema::Name;

use super::AgentView;
use crate::Millis;

/// Properties of a request on which a routing decision depends.
#[derive(Debug, Clone, Copy, Default)]
pub struct RoutingQuery<'a> {
    pub(super) now: Millis,
    pub(super) tried: &'a [Name],
    pub(super) retryable: bool,
    pub(super) evacuated_domains: &'a [Name],
}

impl<'a> RoutingQuery<'a> {
    /// Returns the query at time `now` for a request without earlier attempts.
    pub const fn new(now: Millis) -> Self {
        Self { now, tried: &[], retryable: false, evacuated_domains: &[] }
    }

    /// Sets the agents of earlier attempts at the request, none of which is chosen again.
    #[must_use]
    pub const fn tried(mut self, tried: &'a [Name]) -> Self {
        self.tried = tried;
        self
    }

    /// Sets the evacuated failure domains, whose agents are not chosen.
    #[must_use]
    pub const fn evacuated_domains(mut self, domains: &'a [Name]) -> Self {
        self.evacuated_domains = domains;
        self
    }

    /// Returns whether an agent may be chosen: it has not been tried, and its failure domain is not
    /// evacuated.
    pub(super) fn admits(&self, agent: &AgentView) -> bool {
        !self.tried.contains(agent.name())
            && !self.evacuated_domains.contains(agent.location().domain())
    }

    /// Sets whether the request can be sent to another agent if it fails. Such a request is
    /// preferred as a probe of an ejected agent.
    #[must_use]
    pub const fn retryable(mut self, retryable: bool) -> Self {
        self.retryable = retryable;
        self
    }
}
