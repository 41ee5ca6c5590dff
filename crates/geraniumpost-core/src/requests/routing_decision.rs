use std::fmt;
use std::sync::Arc;

use super::{AgentView, Candidate, RoutingReason};

/// A routing decision; its `Display` is the decision's log line.
#[derive(Debug, Clone)]
pub struct RoutingDecision {
    pub(super) agent: Arc<AgentView>,
    pub(super) considered: [Option<Candidate>; Self::MAX_CANDIDATES],
    pub(super) why: RoutingReason,
}

impl RoutingDecision {
    /// Most agents that one decision weighs: two near ones and two farther ones.
    pub const MAX_CANDIDATES: usize = 4;

    pub(super) fn of(agent: &Arc<AgentView>, why: RoutingReason) -> Self {
        Self { agent: Arc::clone(agent), considered: [const { None }; Self::MAX_CANDIDATES], why }
    }

    /// The chosen agent.
    pub const fn agent(&self) -> &Arc<AgentView> {
        &self.agent
    }

    /// The agents weighed, in the order drawn.
    pub fn candidates(&self) -> impl Iterator<Item = &Candidate> {
        self.considered.iter().flatten()
    }

    /// Why the agent was chosen.
    pub const fn reason(&self) -> RoutingReason {
        self.why
    }
}

impl fmt::Display for RoutingDecision {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let agent = &self.agent;
        write!(f, "agent={} incarnation={:x}", agent.name(), agent.incarnation())?;
        write!(f, " domain={} why={} considered=[", agent.location().domain(), self.why)?;
        for (index, considered) in self.candidates().enumerate() {
            let gap = if index == 0 { "" } else { " " };
            write!(f, "{gap}{considered}")?;
        }
        write!(f, "]")
    }
}
