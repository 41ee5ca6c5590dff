//! Links and heartbeats of agents.

use geraniumpost_schema::Name;

use super::Coordinator;
use super::recent_crashes::RecentCrashes;
use crate::Now;

/// Time without a heartbeat after which an agent's minion gets no new tasks, in milliseconds: three
/// missed heartbeats.
const HEARTBEAT_TIMEOUT_MS: u64 = 1_600;

/// An agent as the coordinator knows it: its link, minion and lease.
#[derive(Debug, Default)]
pub(super) struct Agent {
    pub(super) linked: bool,
    /// Time at which the agent first linked to this coordinator, on the monotonic clock.
    pub(super) first_linked_ms: Option<u64>,
    /// Time at which the agent's current link opened, on the monotonic clock.
    pub(super) link_opened_ms: u64,
    /// The incarnation of the minion on the agent's VM.
    pub(super) minion: Option<Name>,
    /// Time by which the last lease that this coordinator granted has certainly expired, on the
    /// monotonic clock. The lease belongs to the agent and therefore also covers a new incarnation
    /// of its minion.
    pub(super) lease_expiry_ms: u64,
    /// Time at which the last heartbeat arrived, on the monotonic clock.
    pub(super) last_heard_ms: u64,
    /// The agent's clock when it sent that heartbeat, in milliseconds.
    pub(super) heartbeat_sent_at_ms: Option<u64>,
    /// Times of the latest crashes of the agent's minions, on the monotonic clock.
    pub(super) crashes: RecentCrashes,
}

impl Agent {
    /// Converts a time from the coordinator's monotonic clock to the agent's. The result is early
    /// by the time that the last heartbeat took. Returns `None` before the first heartbeat.
    pub(super) fn to_agent_clock_ms(&self, steady_ms: u64) -> Option<u64> {
        let sent_at_ms = self.heartbeat_sent_at_ms?;
        Some((sent_at_ms + steady_ms).saturating_sub(self.last_heard_ms))
    }

    const fn is_heard(&self, now: Now) -> bool {
        now.steady_ms < self.last_heard_ms + HEARTBEAT_TIMEOUT_MS
    }
}

impl Coordinator {
    /// Marks the agent and its minions as linked. The minions get no tasks before they are polled
    /// over the new link.
    pub(super) fn handle_agent_connected(&mut self, agent: &Name, now: Now) {
        let state = self.agents.entry(agent.clone()).or_default();
        state.linked = true;
        state.heartbeat_sent_at_ms = None;
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
            for task in &minion.copies {
                let Some(copy) = self.copies.get_mut(task) else { continue };
                copy.record_link_loss(now.steady_ms);
            }
        }
        self.log(format!("agent={agent} event=lost"));
    }

    /// Stops placing tasks on minions whose agents missed their heartbeats, until the next
    /// heartbeat arrives.
    ///
    /// A failed machine closes no link, and its minion appears to be the best place once the leases
    /// of its runs have expired. Tasks would be placed on that minion again each time their lease
    /// expires, or would alternate between two failed machines, while healthy minions have free
    /// resources.
    pub(super) fn mark_unresponsive_minions(&mut self, now: Now) {
        for minion in self.minions.values_mut().filter(|minion| minion.responsive) {
            let agent = self.agents.get(&minion.agent);
            minion.responsive = agent.is_some_and(|agent| agent.is_heard(now));
        }
    }

    /// Returns whether heartbeats arrive from an agent, whether its minion responds or not.
    pub(super) fn is_agent_heard(&self, agent: &Name, now: Now) -> bool {
        self.agents.get(agent).is_some_and(|agent| agent.is_heard(now))
    }
}
