use std::sync::Arc;

use derive_more::Display;

use super::AgentView;

/// Agent compared in a routing decision, with its cost. `Display` gives the text for the log.
#[derive(Debug, Display, Clone)]
#[display("{}:{cost_us}us", agent.name())]
pub struct Candidate {
    pub(super) agent: Arc<AgentView>,
    pub(super) cost_us: u64,
}

impl Candidate {
    /// The agent that was drawn.
    pub const fn agent(&self) -> &Arc<AgentView> {
        &self.agent
    }

    /// Expected cost of sending the request to the agent, in microseconds of waiting, including the
    /// surcharge for its distance.
    pub const fn cost_us(&self) -> u64 {
        self.cost_us
    }
}
