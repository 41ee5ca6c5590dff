//! Agents: their links, and their silence.

use geraniumpost_schema::Name;

use super::Coordinator;
use crate::Now;

/// Silence of an agent after which its minion gets no more work, in milliseconds: three missing beats.
const SILENT_MS: u64 = 1_600;

/// What the coordinator knows of one agent.
#[derive(Debug, Default)]
pub(super) struct Agent {
    pub(super) linked: bool,
    /// When it first linked to this coordinator, on the steady clock.
    pub(super) linked_ms: Option<u64>,
    /// When its present link opened, on the steady clock.
    pub(super) link_opened_ms: u64,
    /// The incarnation beside it.
    pub(super) minion: Option<Name>,
    /// When all that runs beside it has surely ended if the lease that this coordinator granted is not
    /// extended any more. It belongs to the agent: a new incarnation is held under the lease that the
    /// agent has.
    pub(super) lapsed_ms: u64,
    /// When it was last heard of, on the steady clock.
    pub(super) heard_ms: u64,
}

impl Coordinator {
    /// Takes note of a new link from an agent.
    pub(super) fn agent_linked(&mut self, agent: &Name, now: Now) {
        let known = self.agents.entry(agent.clone()).or_default();
        known.linked = true;
        known.linked_ms.get_or_insert(now.steady_ms);
        known.link_opened_ms = now.steady_ms;
        for minion in self.minions.values_mut().filter(|minion| minion.agent == *agent) {
            minion.linked = true;
            minion.looked = false;
        }
        self.note(format!("agent={agent} event=linked"));
    }

    /// Takes note that an agent's link is gone; what its minion runs goes on until its lease lapses.
    pub fn agent_disconnected(&mut self, agent: &Name, now: Now) {
        if let Some(known) = self.agents.get_mut(agent) {
            known.linked = false;
        }
        for minion in self.minions.values_mut().filter(|minion| minion.agent == *agent) {
            minion.linked = false;
            minion.looked = false;
            for task in &minion.runs {
                let Some(run) = self.runs.get_mut(task) else { continue };
                run.link_lost(now.steady_ms);
            }
        }
        self.note(format!("agent={agent} event=lost"));
    }

    /// Gives no more work to minions whose agents have fallen silent, until they are heard of again.
    ///
    /// A machine that is lost closes no link, and its minion, once emptied, looks like the best place of
    /// all. Tasks would be placed there again each time their lease has lapsed, and on nothing but lost
    /// machines if there are two, while others have room.
    pub(super) fn pass_over_silent(&mut self, now: Now) {
        for minion in self.minions.values_mut().filter(|minion| minion.answers) {
            let heard_ms = self.agents.get(&minion.agent).map_or(0, |agent| agent.heard_ms);
            minion.answers = now.steady_ms < heard_ms + SILENT_MS;
        }
    }
}
