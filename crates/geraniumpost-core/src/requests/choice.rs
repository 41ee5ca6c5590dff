use std::fmt;
use std::sync::Arc;

use super::{AgentView, Considered, Why};

/// A routing decision; its `Display` is the decision's log line.
#[derive(Debug, Clone)]
pub struct Choice {
    pub(super) agent: Arc<AgentView>,
    pub(super) considered: [Option<Considered>; Self::MOST],
    pub(super) why: Why,
}

impl Choice {
    /// Most agents that one decision weighs: two near ones and two farther ones.
    pub const MOST: usize = 4;

    pub(super) fn of(agent: &Arc<AgentView>, why: Why) -> Self {
        Self { agent: Arc::clone(agent), considered: [const { None }; Self::MOST], why }
    }

    /// The chosen agent.
    pub const fn agent(&self) -> &Arc<AgentView> {
        &self.agent
    }

    /// The agents weighed, in the order drawn.
    pub fn considered(&self) -> impl Iterator<Item = &Considered> {
        self.considered.iter().flatten()
    }

    /// Why the agent was chosen.
    pub const fn why(&self) -> Why {
        self.why
    }
}

impl fmt::Display for Choice {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let agent = &self.agent;
        write!(f, "agent={} incarnation={:x}", agent.name(), agent.incarnation())?;
        write!(f, " domain={} why={} considered=[", agent.located().domain(), self.why)?;
        for (index, considered) in self.considered().enumerate() {
            let gap = if index == 0 { "" } else { " " };
            write!(f, "{gap}{considered}")?;
        }
        write!(f, "]")
    }
}
