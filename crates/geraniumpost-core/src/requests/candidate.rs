use std::sync::Arc;

use derive_more::Display;

use super::AgentView;

/// An agent that a routing decision weighed.
#[derive(Debug, Display, Clone)]
#[display("{}:{cost_us}us", agent.name())]
pub struct Candidate {
    pub(super) agent: Arc<AgentView>,
    pub(super) cost_us: u64,
}

impl Candidate {
    /// The agent.
    pub const fn agent(&self) -> &Arc<AgentView> {
        &self.agent
    }

    /// Expected cost of sending the request there, in microseconds of waiting.
    pub const fn cost_us(&self) -> u64 {
        self.cost_us
    }
}
