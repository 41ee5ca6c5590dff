use std::collections::HashMap;
use std::sync::Arc;

use geraniumpost_core::jobs::PlannerEvent;
use geraniumpost_schema::{Name, ToAgent};

use crate::entry::AgentLink;

/// Links to the agents of this region, newest last.
#[derive(Debug, Default)]
pub(super) struct AgentLinks(HashMap<Name, One>);

#[derive(Debug, Default)]
struct One {
    links: Vec<Arc<AgentLink>>,
    /// Whether a heartbeat said that the agent is in this region and has a worker.
    ours: bool,
    /// Incarnation that the planner was told is linked.
    told: Option<u64>,
}

impl AgentLinks {
    /// Notes an agent of this region and returns what the planner is to be told.
    pub(super) fn seen(&mut self, agent: &Name) -> Vec<PlannerEvent> {
        let one = self.0.entry(agent.clone()).or_default();
        one.ours = true;
        one.news(agent)
    }

    /// Adds a link and returns what the planner is to be told.
    pub(super) fn up(&mut self, link: Arc<AgentLink>) -> Vec<PlannerEvent> {
        let agent = link.peer().name.clone();
        let one = self.0.entry(agent.clone()).or_default();
        one.links.push(link);
        one.news(&agent)
    }

    /// Removes a link and returns what the planner is to be told.
    pub(super) fn down(&mut self, link: &Arc<AgentLink>) -> Vec<PlannerEvent> {
        let agent = &link.peer().name;
        let Some(one) = self.0.get_mut(agent) else { return Vec::new() };
        one.links.retain(|other| !Arc::ptr_eq(other, link));
        let news = one.news(agent);
        if one.links.is_empty() {
            self.0.remove(agent);
        }
        news
    }

    /// Returns what a new planner is to be told of the links that are up.
    pub(super) fn all(&mut self) -> Vec<PlannerEvent> {
        let mut events = Vec::new();
        for (agent, one) in &mut self.0 {
            one.told = None;
            events.extend(one.news(agent));
        }
        events
    }

    /// Returns whether a message over this link is the word of the incarnation last linked.
    ///
    /// What an agent's earlier process still had under way says nothing of the present one.
    pub(super) fn is_current(&self, link: &AgentLink) -> bool {
        let peer = link.peer();
        self.0.get(&peer.name).is_some_and(|one| one.told == Some(peer.incarnation))
    }

    /// Sends a frame over the newest link; without one it is dropped, and the planner repeats it.
    pub(super) fn send(&self, agent: &Name, frame: ToAgent) {
        let Some(link) = self.0.get(agent).and_then(|one| one.links.last()) else { return };
        if !link.send(frame) {
            spdlog::debug!("an order for agent {agent} was not taken by its link");
        }
    }
}

impl One {
    fn news(&mut self, agent: &Name) -> Vec<PlannerEvent> {
        let current = self.links.last().map(|link| link.peer().incarnation);
        if !self.ours || current == self.told {
            return Vec::new();
        }
        let before = std::mem::replace(&mut self.told, current);
        let down =
            before.map(|incarnation| PlannerEvent::LinkDown { agent: agent.clone(), incarnation });
        let up =
            current.map(|incarnation| PlannerEvent::LinkUp { agent: agent.clone(), incarnation });
        down.into_iter().chain(up).collect()
    }
}
