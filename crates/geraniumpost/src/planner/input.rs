use std::sync::Arc;

use geraniumpost_schema::{Heartbeat, Name, ToEntry};

use crate::entry::AgentLink;

/// Message from the entry to its planner.
#[derive(Debug)]
pub enum PlannerInput {
    /// A heartbeat of an agent in this region. If this entry plans, the answer to it extends the
    /// agent lease.
    Heartbeat(Box<Heartbeat>),
    /// The heartbeats of an agent have timed out.
    AgentLost(Name),
    /// A link to an agent was established.
    LinkUp(Arc<AgentLink>),
    /// A link to an agent has ended.
    LinkDown(Arc<AgentLink>),
    /// An agent has sent a message that concerns its tasks.
    Message(Arc<AgentLink>, ToEntry),
}
