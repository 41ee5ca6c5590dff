//! Minions that come, report and go.

use geraniumpost_schema::Name;

use super::Coordinator;
use super::draining::DEFAULT_DRAIN_MS;
use super::minion::Minion;
use crate::{EndKind, MinionInfo, Now};

/// A lease that ends sooner than this, in milliseconds, may be over before an order arrives.
const MIN_LEASE_LEFT_MS: u64 = 1_000;

impl Coordinator {
    /// Takes in what a minion says of itself.
    pub(super) fn update_minion(&mut self, agent: &Name, info: MinionInfo, now: Now) {
        let id = info.id.clone();
        let before = self.agents.entry(agent.clone()).or_default().minion.replace(id.clone());
        if let Some(before) = before.filter(|before| *before != id) {
            self.remove_minion(&before, now);
        }
        // Records may name incarnations beside this agent that no longer exist.
        let gone: Vec<Name> = self
            .minions
            .iter()
            .filter(|(other, minion)| minion.agent == *agent && **other != id)
            .map(|(other, _)| other.clone())
            .collect();
        for other in gone {
            self.remove_minion(&other, now);
        }
        let linked = self.agents.get(agent).is_some_and(|agent| agent.linked);
        let leased = self
            .agents
            .get(agent)
            .is_some_and(|a| a.lease_expiry_ms > now.steady_ms + MIN_LEASE_LEFT_MS);
        let minion = self
            .minions
            .entry(id.clone())
            .or_insert_with(|| Minion::new(info.clone(), agent.clone()));
        if minion.reported && info.sequence < minion.info.sequence {
            return;
        }
        minion.responsive |= !minion.reported && leased;
        let drains = info.draining && !(minion.reported && minion.info.draining);
        minion.drain_deadline_ms = now.steady_ms + info.remaining_ms.unwrap_or(DEFAULT_DRAIN_MS);
        minion.info = info;
        minion.reported = true;
        minion.linked = linked;
        self.placement_due = true;
        if drains {
            self.log(format!("minion={id} agent={agent} event=draining"));
        }
        if self.minions.get(&id).is_some_and(|minion| minion.info.draining) {
            self.evacuate(&id, now);
        }
    }

    /// Takes note that an incarnation and all its runs are gone.
    pub(super) fn remove_minion(&mut self, id: &Name, now: Now) {
        let Some(minion) = self.minions.get(id) else { return };
        let runs: Vec<_> = minion.runs.iter().copied().collect();
        self.log(format!("minion={id} event=gone runs={}", runs.len()));
        for task in runs {
            self.end_run(task, EndKind::LeaseExpired, &Name::default(), now);
        }
        self.minions.remove(id);
        for agent in self.agents.values_mut().filter(|agent| agent.minion.as_ref() == Some(id)) {
            agent.minion = None;
        }
    }
}
