//! Agents: their links and heartbeats.

use geraniumpost_schema::Name;

use super::Coordinator;
use crate::Now;

/// Time without a heartbeat after which an agent's minion gets no new tasks, in milliseconds: three
/// missed heartbeats.
const HEARTBEAT_TIMEOUT_MS: u64 = 1_600;

/// State of one agent.
#[derive(Debug, Default)]
pub(super) struct Agent {
    pub(super) linked: bool,
    /// When the agent first linked to this coordinator, on the steady clock.
    pub(super) first_linked_ms: Option<u64>,
    /// When its current link opened, on the steady clock.
    pub(super) link_opened_ms: u64,
    /// The incarnation beside the agent.
    pub(super) minion: Option<Name>,
    /// When the last lease that this coordinator granted has certainly expired, on the steady
    /// clock. The lease belongs to the agent: a new incarnation beside it runs under the same one.
    pub(super) lease_expiry_ms: u64,
    /// When the last heartbeat arrived, on the steady clock.
    pub(super) last_heard_ms: u64,
}

impl Coordinator {
    /// Handles a new link from an agent.
    pub(super) fn handle_agent_connected(&mut self, agent: &Name, now: Now) {
        let state = self.agents.entry(agent.clone()).or_default();
        state.linked = true;
        state.first_linked_ms.get_or_insert(now.steady_ms);
        state.link_opened_ms = now.steady_ms;
        for minion in self.minions.values_mut().filter(|minion| minion.agent == *agent) {
            minion.linked = true;
            minion.polled = false;
        }
        self.log(format!("agent={agent} event=linked"));
    }

    /// Handles the loss of an agent's link. Runs of its minion continue until the lease expires.
    pub fn handle_agent_disconnected(&mut self, agent: &Name, now: Now) {
        if let Some(state) = self.agents.get_mut(agent) {
            state.linked = false;
        }
        for minion in self.minions.values_mut().filter(|minion| minion.agent == *agent) {
            minion.linked = false;
            minion.polled = false;
            for task in &minion.runs {
                let Some(run) = self.runs.get_mut(task) else { continue };
                run.record_link_loss(now.steady_ms);
            }
        }
        self.log(format!("agent={agent} event=lost"));
    }

    /// Stops placing tasks on minions whose agents missed their heartbeats, until the next one
    /// arrives.
    ///
    /// A machine that fails closes no link, and its minion looks like the best place once its runs
    /// have expired. Tasks would be placed there again each time their lease expires, or alternate
    /// between failed machines if there are two, while healthy minions have free resources.
    pub(super) fn mark_unresponsive_minions(&mut self, now: Now) {
        for minion in self.minions.values_mut().filter(|minion| minion.responsive) {
            let last_heard_ms =
                self.agents.get(&minion.agent).map_or(0, |agent| agent.last_heard_ms);
            minion.responsive = now.steady_ms < last_heard_ms + HEARTBEAT_TIMEOUT_MS;
        }
    }
}
