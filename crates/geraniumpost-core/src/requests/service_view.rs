use std::sync::Arc;

use super::{AgentView, Location};

/// The agents of one service, sorted by how near they are to this entry.
#[derive(Debug, Default)]
pub struct ServiceView {
    agents: Vec<Arc<AgentView>>,
    tiers: [Vec<u32>; Self::TIERS],
    ejected: Vec<u32>,
}

impl ServiceView {
    /// Own failure domain, own region, anywhere.
    pub const TIERS: usize = 3;

    /// Sorts `agents` by distance from `here`.
    ///
    /// Agents that may not be routed to are left out of the tiers, so that a decision draws from
    /// usable agents only and takes as long among 570 agents as among 11.
    pub fn new(agents: Vec<Arc<AgentView>>, here: &Location) -> Self {
        let mut view = Self::default();
        for (index, agent) in agents.iter().enumerate() {
            let index = index as u32;
            if agent.is_routable() {
                view.tiers[tier(agent.location(), here)].push(index);
            } else if agent.is_connected() && !agent.is_draining() {
                view.ejected.push(index);
            }
        }
        view.agents = agents;
        view
    }

    /// All agents of the service, also those that may not be routed to.
    pub fn agents(&self) -> &[Arc<AgentView>] {
        &self.agents
    }

    pub(super) fn tier(&self, tier: usize) -> &[u32] {
        &self.tiers[tier]
    }

    pub(super) fn ejected(&self) -> impl Iterator<Item = &Arc<AgentView>> {
        self.ejected.iter().map(|&index| self.agent(index))
    }

    pub(super) fn agent(&self, index: u32) -> &Arc<AgentView> {
        &self.agents[index as usize]
    }

    /// Agents that ordinary requests may go to when the view was made.
    pub fn routable_count(&self) -> usize {
        self.tiers.iter().map(Vec::len).sum()
    }
}

fn tier(place: &Location, here: &Location) -> usize {
    if place.region() != here.region() {
        return 2;
    }
    usize::from(place.domain() != here.domain())
}
