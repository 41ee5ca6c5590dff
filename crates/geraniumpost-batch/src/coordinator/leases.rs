//! Agents, their leases, and minions that come and go.

use geraniumpost_schema::Name;

use super::leaving::STAY_MS;
use super::minion::Minion;
use super::{Coordinator, Effect};
use crate::tuning::{LAPSE_MARGIN_MS, LAPSE_PERCENT, STORE_LOST_MS, STORE_SILENCE_MS};
use crate::{EndKind, MinionInfo, Now, ToAgent};

/// A lease that ends sooner than this, in milliseconds, may be over before an order arrives.
const SOON_MS: u64 = 1_000;

/// Silence of an agent after which its minion gets no more work, in milliseconds: three missing beats.
const SILENT_MS: u64 = 1_600;

/// What the coordinator knows of one agent.
#[derive(Debug, Default)]
pub(super) struct Agent {
    linked: bool,
    /// When it first linked to this coordinator, on the steady clock.
    linked_ms: Option<u64>,
    /// The incarnation beside it.
    minion: Option<Name>,
    /// When all that runs beside it has surely ended if the lease that this coordinator granted is not
    /// extended any more. It belongs to the agent: a new incarnation is held under the lease that the
    /// agent has.
    pub(super) lapsed_ms: u64,
    /// When it was last heard of, on the steady clock.
    heard_ms: u64,
}

/// Returns after how many milliseconds a lease that holds for `hold_ms` has surely lapsed, on the
/// slowest clock that a minion may have.
pub const fn surely_lapsed_ms(hold_ms: u64) -> u64 {
    hold_ms * LAPSE_PERCENT / 100 + LAPSE_MARGIN_MS
}

impl Coordinator {
    /// Takes note of a new link from an agent.
    pub(super) fn agent_linked(&mut self, agent: &Name, now: Now) {
        let known = self.agents.entry(agent.clone()).or_default();
        known.linked = true;
        known.linked_ms.get_or_insert(now.steady_ms);
        for minion in self.minions.values_mut().filter(|minion| minion.agent == *agent) {
            minion.linked = true;
            minion.looked = false;
        }
        self.note(format!("agent={agent} event=linked"));
    }

    /// Takes note that an agent's link is gone; what its minion runs goes on until its lease lapses.
    pub fn agent_lost(&mut self, agent: &Name, now: Now) {
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

    /// Answers an agent's beat, and extends the lease of what its minion runs.
    pub(super) fn extend_lease(
        &mut self,
        agent: &Name,
        sent_at_ms: u64,
        minion_ok: bool,
        now: Now,
    ) {
        let silent_ms = now.steady_ms.saturating_sub(self.confirmed_ms);
        // A successor may have been waiting for so long that it takes the work for ended.
        let extend = minion_ok && silent_ms < STORE_LOST_MS;
        let hold_ms = if extend { self.hold_ms } else { 0 };
        if extend {
            self.agent_reached(agent);
            // The agent counts from its own sending, which was earlier than this moment.
            let lapsed_ms = now.steady_ms + surely_lapsed_ms(hold_ms);
            let known = self.agents.entry(agent.clone()).or_default();
            known.lapsed_ms = known.lapsed_ms.max(lapsed_ms);
        }
        self.agents.entry(agent.clone()).or_default().heard_ms = now.steady_ms;
        for minion in self.minions.values_mut().filter(|minion| minion.agent == *agent) {
            self.placing_due |= minion_ok && !minion.answers;
            minion.answers = minion_ok;
        }
        let store_ok = silent_ms < STORE_SILENCE_MS;
        let message = ToAgent::Lease { sent_at_ms, hold_ms, fence: self.fence, store_ok };
        self.effects.push(Effect::Tell { agent: agent.clone(), message });
    }

    /// Takes in what a minion says of itself.
    pub(super) fn minion_reported(&mut self, agent: &Name, info: MinionInfo, now: Now) {
        let id = info.id.clone();
        let before = self.agents.entry(agent.clone()).or_default().minion.replace(id.clone());
        if let Some(before) = before.filter(|before| *before != id) {
            self.minion_gone(&before, now);
        }
        // Records may name incarnations beside this agent that no longer exist.
        let gone: Vec<Name> = self
            .minions
            .iter()
            .filter(|(other, minion)| minion.agent == *agent && **other != id)
            .map(|(other, _)| other.clone())
            .collect();
        for other in gone {
            self.minion_gone(&other, now);
        }
        let linked = self.agents.get(agent).is_some_and(|agent| agent.linked);
        let leased = self.agents.get(agent).is_some_and(|a| a.lapsed_ms > now.steady_ms + SOON_MS);
        let minion = self
            .minions
            .entry(id.clone())
            .or_insert_with(|| Minion::new(info.clone(), agent.clone()));
        if minion.known && info.sequence < minion.info.sequence {
            return;
        }
        minion.answers |= !minion.known && leased;
        let drains = info.draining && !(minion.known && minion.info.draining);
        minion.leaves_ms = now.steady_ms + info.remaining_ms.unwrap_or(STAY_MS);
        minion.info = info;
        minion.known = true;
        minion.linked = linked;
        self.placing_due = true;
        if drains {
            self.note(format!("minion={id} agent={agent} event=draining"));
        }
        if self.minions.get(&id).is_some_and(|minion| minion.info.draining) {
            self.evacuate(&id, now);
        }
    }

    /// Takes note that an incarnation and all its runs are gone.
    pub(super) fn minion_gone(&mut self, id: &Name, now: Now) {
        let Some(minion) = self.minions.get(id) else { return };
        let runs: Vec<_> = minion.runs.iter().copied().collect();
        self.note(format!("minion={id} event=gone runs={}", runs.len()));
        for task in runs {
            self.end_run(task, EndKind::Lapsed, &Name::default(), now);
        }
        self.minions.remove(id);
        for agent in self.agents.values_mut().filter(|agent| agent.minion.as_ref() == Some(id)) {
            agent.minion = None;
        }
    }

    /// Returns when all that runs beside an agent has surely ended if its lease is not extended any more,
    /// on the steady clock, and whether leases of earlier coordinators decide that rather than its own.
    pub(super) fn lapses(&self, agent: &Name) -> (u64, bool) {
        let inherited_ms = self.inherited.until_ms(agent);
        let Some(agent) = self.agents.get(agent) else { return (inherited_ms, true) };
        // An agent that has linked to this coordinator obeys no earlier one any more.
        let linked_ms = agent.linked_ms.map(|linked_ms| linked_ms + surely_lapsed_ms(self.hold_ms));
        let inherited_ms = linked_ms.unwrap_or(inherited_ms).min(inherited_ms);
        (agent.lapsed_ms.max(inherited_ms), inherited_ms > agent.lapsed_ms)
    }

    fn has_lapsed(&self, agent: &Name, now: Now) -> bool {
        now.steady_ms >= self.lapses(agent).0
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

    /// Ends what ran on minions whose leases have surely lapsed.
    pub(super) fn lapse(&mut self, now: Now) {
        let lapsed: Vec<Name> = self
            .minions
            .iter()
            .filter(|(_, minion)| !minion.runs.is_empty() && self.has_lapsed(&minion.agent, now))
            .map(|(id, _)| id.clone())
            .collect();
        for id in lapsed {
            let Some(minion) = self.minions.get(&id) else { continue };
            let runs: Vec<_> = minion.runs.iter().copied().collect();
            self.note(format!("minion={id} event=lapsed runs={}", runs.len()));
            for task in runs {
                self.end_run(task, EndKind::Lapsed, &Name::default(), now);
            }
        }
    }
}
