//! Agents, their leases, and minions that come and go.

use geraniumpost_schema::Name;

use super::minion::Minion;
use super::{Coordinator, Effect};
use crate::tuning::{LAPSE_MARGIN_MS, LAPSE_PERCENT, STORE_LOST_MS, STORE_SILENCE_MS};
use crate::{EndKind, MinionInfo, Now, ToAgent};

/// A lease that ends sooner than this, in milliseconds, may be over before an order arrives.
const SOON_MS: u64 = 1_000;

/// What the coordinator knows of one agent.
#[derive(Debug, Default)]
pub(super) struct Agent {
    linked: bool,
    /// The incarnation beside it.
    minion: Option<Name>,
    /// When all that runs beside it has surely ended if its lease is not extended any more. It
    /// belongs to the agent: a new incarnation is held under the lease that the agent has.
    lapsed_ms: u64,
}

/// Returns after how many milliseconds a lease that holds for `hold_ms` has surely lapsed, on the
/// slowest clock that a minion may have.
pub const fn surely_lapsed_ms(hold_ms: u64) -> u64 {
    hold_ms * LAPSE_PERCENT / 100 + LAPSE_MARGIN_MS
}

impl Coordinator {
    /// Takes note of a new link from an agent.
    pub(super) fn agent_linked(&mut self, agent: &Name) {
        self.agents.entry(agent.clone()).or_default().linked = true;
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
            // The agent counts from its own sending, which was earlier than this moment.
            let lapsed_ms = now.steady_ms + surely_lapsed_ms(hold_ms);
            let known = self.agents.entry(agent.clone()).or_default();
            known.lapsed_ms = known.lapsed_ms.max(lapsed_ms);
        }
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

    /// Takes note that the predecessor is known to have ended its term, and extends no lease any more.
    ///
    /// A successor that only knows its predecessor as silent waits for as long as that could go on
    /// without the store. Standing tasks whose agents went away meanwhile would stay down all that
    /// time; a word from the predecessor leaves only the leases that it had extended.
    pub fn predecessor_ended(&mut self, now: Now) {
        let until_ms = now.steady_ms + surely_lapsed_ms(self.hold_ms);
        if until_ms < self.inherited_ms {
            self.note(format!(
                "event=predecessor_ended earlier_by_ms={}",
                self.inherited_ms - until_ms
            ));
            self.inherited_ms = until_ms;
        }
    }

    fn has_lapsed(&self, agent: &Name, now: Now) -> bool {
        let lapsed_ms = self.agents.get(agent).map_or(0, |agent| agent.lapsed_ms);
        now.steady_ms >= lapsed_ms.max(self.inherited_ms)
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
