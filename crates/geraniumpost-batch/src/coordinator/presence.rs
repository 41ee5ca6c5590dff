//! Minions that come, report and go.

use geraniumpost_schema::Name;

use super::Coordinator;
use super::leaving::STAY_MS;
use super::minion::Minion;
use crate::{EndKind, MinionInfo, Now};

/// A lease that ends sooner than this, in milliseconds, may be over before an order arrives.
const SOON_MS: u64 = 1_000;

impl Coordinator {
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
            self.end_run(task, EndKind::LeaseExpired, &Name::default(), now);
        }
        self.minions.remove(id);
        for agent in self.agents.values_mut().filter(|agent| agent.minion.as_ref() == Some(id)) {
            agent.minion = None;
        }
    }
}
