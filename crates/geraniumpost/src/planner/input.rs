use std::sync::Arc;

use geraniumpost_schema::{Heartbeat, Name, ToEntry};

use crate::entry::AgentLink;

/// What the entry tells its planner.
#[derive(Debug)]
pub enum PlannerInput {
    /// A heartbeat of an agent in this region, which is answered with a hold if this entry plans.
    Heartbeat(Box<Heartbeat>),
    /// An agent has gone silent.
    Lost(Name),
    /// A link to an agent is up.
    LinkUp(Arc<AgentLink>),
    /// A link to an agent has ended.
    LinkDown(Arc<AgentLink>),
    /// A report or inventory of an agent.
    Told(Arc<AgentLink>, ToEntry),
}
