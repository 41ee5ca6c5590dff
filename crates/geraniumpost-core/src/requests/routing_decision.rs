use std::fmt;
use std::sync::Arc;

use super::{AgentView, Candidate, RoutingReason};

/// Decision of the [`super::Router`] for one attempt. `Display` gives the text for the log.
#[derive(Debug, Clone)]
pub struct RoutingDecision {
    pub(super) agent: Arc<AgentView>,
    pub(super) candidates: [Option<Candidate>; Self::MAX_CANDIDATES],
    pub(super) reason: RoutingReason,
}

impl RoutingDecision {
    /// Maximum number of agents that one decision compares: at most two from each distance tier.
    pub const MAX_CANDIDATES: usize = 4;

    pub(super) fn without_candidates(agent: &Arc<AgentView>, reason: RoutingReason) -> Self {
        Self {
            agent: Arc::clone(agent),
            candidates: [const { None }; Self::MAX_CANDIDATES],
            reason,
        }
    }

    /// The agent to which the attempt must be sent.
    pub const fn agent(&self) -> &Arc<AgentView> {
        &self.agent
    }

    /// The compared agents with their costs, in the order in which they were drawn; empty unless
    /// the reason is `Cheapest` or `Only`.
    pub fn candidates(&self) -> impl Iterator<Item = &Candidate> {
        self.candidates.iter().flatten()
    }

    /// Reason for the choice, for logs and tests.
    pub const fn reason(&self) -> RoutingReason {
        self.reason
    }
}

impl fmt::Display for RoutingDecision {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let agent = &self.agent;
        write!(f, "agent={} incarnation={:x}", agent.name(), agent.incarnation())?;
        write!(f, " domain={} why={} considered=[", agent.location().domain(), self.reason)?;
        for (index, candidate) in self.candidates().enumerate() {
            let separator = if index == 0 { "" } else { " " };
            write!(f, "{separator}{candidate}")?;
        }
        write!(f, "]")
    }
}
