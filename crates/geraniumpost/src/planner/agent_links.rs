use std::collections::HashMap;
use std::sync::Arc;

use geraniumpost_core::jobs::PlannerEvent;
use geraniumpost_schema::{Name, ToAgent};

use crate::entry::AgentLink;

/// Links to agents, from which the planner's events [`PlannerEvent::LinkUp`] and
/// [`PlannerEvent::LinkDown`] are derived.
#[derive(Debug, Default)]
pub(super) struct AgentLinks(HashMap<Name, LinkedAgent>);

#[derive(Debug, Default)]
struct LinkedAgent {
    /// Open links, newest last.
    links: Vec<Arc<AgentLink>>,
    /// Whether a heartbeat showed that the agent is in this region and has a worker. Only such
    /// agents are reported to the planner.
    is_schedulable: bool,
    /// Incarnation that was last reported to the planner as linked.
    reported: Option<u64>,
}

impl AgentLinks {
    /// Marks an agent as schedulable after a heartbeat, and returns the resulting events.
    pub(super) fn mark_schedulable(&mut self, agent: &Name) -> Vec<PlannerEvent> {
        let linked = self.0.entry(agent.clone()).or_default();
        linked.is_schedulable = true;
        linked.take_events(agent)
    }

    /// Adds a link and returns the resulting events.
    pub(super) fn add(&mut self, link: Arc<AgentLink>) -> Vec<PlannerEvent> {
        let agent = link.peer().name.clone();
        let linked = self.0.entry(agent.clone()).or_default();
        linked.links.push(link);
        linked.take_events(&agent)
    }

    /// Removes a link and returns the resulting events.
    pub(super) fn remove(&mut self, link: &Arc<AgentLink>) -> Vec<PlannerEvent> {
        let agent = &link.peer().name;
        let Some(linked) = self.0.get_mut(agent) else { return Vec::new() };
        linked.links.retain(|other| !Arc::ptr_eq(other, link));
        let events = linked.take_events(agent);
        if linked.links.is_empty() {
            self.0.remove(agent);
        }
        events
    }

    /// Returns the events that report all open links to a new planner.
    pub(super) fn report_all(&mut self) -> Vec<PlannerEvent> {
        let mut events = Vec::new();
        for (agent, linked) in &mut self.0 {
            linked.reported = None;
            events.extend(linked.take_events(agent));
        }
        events
    }

    /// Returns whether the link belongs to the incarnation that was last reported to the planner.
    ///
    /// Messages that an earlier process of the agent has sent do not describe the current one.
    pub(super) fn is_current(&self, link: &AgentLink) -> bool {
        let peer = link.peer();
        self.0.get(&peer.name).is_some_and(|linked| linked.reported == Some(peer.incarnation))
    }

    /// Sends a frame over the newest link. Without a link the frame is dropped, and the planner
    /// sends it again later.
    pub(super) fn send(&self, agent: &Name, frame: ToAgent) {
        let Some(link) = self.0.get(agent).and_then(|linked| linked.links.last()) else { return };
        if !link.send(frame) {
            spdlog::debug!("order to agent {agent} dropped: its link has ended or is congested");
        }
    }
}

impl LinkedAgent {
    /// Returns the events for the change of the current incarnation since the last call.
    fn take_events(&mut self, agent: &Name) -> Vec<PlannerEvent> {
        let current = self.links.last().map(|link| link.peer().incarnation);
        if !self.is_schedulable || current == self.reported {
            return Vec::new();
        }
        let before = std::mem::replace(&mut self.reported, current);
        let down =
            before.map(|incarnation| PlannerEvent::LinkDown { agent: agent.clone(), incarnation });
        let up =
            current.map(|incarnation| PlannerEvent::LinkUp { agent: agent.clone(), incarnation });
        down.into_iter().chain(up).collect()
    }
}
