//! Reports and removal of minions.

use geraniumpost_schema::Name;

use super::Coordinator;
use super::draining::DEFAULT_DRAIN_DURATION_MS;
use super::minion::Minion;
use super::termination_cause::TerminationCause;
use crate::{EndKind, Incarnation, MinionInfo, Now};

/// Minimum remaining lease with which a newly reported minion counts as responsive before a
/// heartbeat reports on it, in milliseconds; with less, the lease may expire before an order
/// arrives.
const MIN_REMAINING_LEASE_MS: u64 = 1_000;

impl Coordinator {
    /// Handles a report of a minion's properties, which may show a new incarnation or the start of
    /// draining.
    pub(super) fn handle_minion_info(&mut self, agent: &Name, info: MinionInfo, now: Now) {
        let id = info.id.clone();
        let previous = self.agents.entry(agent.clone()).or_default().minion.replace(id.clone());
        if let Some(previous) = previous.filter(|previous| *previous != id) {
            self.replace_minion(&previous, &id, now);
        }
        // Records may refer to earlier incarnations of this agent's minion, which no longer exist.
        let terminated: Vec<Name> = self
            .minions
            .iter()
            .filter(|(earlier, minion)| minion.agent == *agent && **earlier != id)
            .map(|(earlier, _)| earlier.clone())
            .collect();
        for earlier in terminated {
            self.replace_minion(&earlier, &id, now);
        }
        let linked = self.agents.get(agent).is_some_and(|agent| agent.linked);
        let has_lease = self
            .agents
            .get(agent)
            .is_some_and(|a| a.lease_expiry_ms > now.steady_ms + MIN_REMAINING_LEASE_MS);
        let minion = self
            .minions
            .entry(id.clone())
            .or_insert_with(|| Minion::new(info.clone(), agent.clone()));
        if minion.reported && info.sequence < minion.info.sequence {
            return;
        }
        minion.responsive |= !minion.reported && has_lease;
        let starts_draining = info.draining && !(minion.reported && minion.info.draining);
        minion.drain_deadline_ms =
            now.steady_ms + info.remaining_ms.unwrap_or(DEFAULT_DRAIN_DURATION_MS);
        minion.domain_evacuated = self.evacuated_domains.contains(&info.domain);
        minion.info = info;
        minion.reported = true;
        minion.linked = linked;
        self.placement_due = true;
        if starts_draining {
            self.log(format!("minion={id} agent={agent} event=draining"));
        }
        if self.minions.get(&id).is_some_and(|minion| minion.info.draining) {
            self.evacuate(&id, now);
        }
        self.bar_late_starts(&id, now);
    }

    /// Removes an incarnation because its agent reports another one.
    fn replace_minion(&mut self, earlier: &Name, id: &Name, now: Now) {
        if Incarnation::may_be_same_process(earlier, id) {
            return self.rename_minion(earlier, id, now);
        }
        let restarted = Incarnation::is_other_process(earlier, id).then_some(id);
        self.remove_minion(earlier, restarted, TerminationCause::Unknown, now);
    }

    /// Removes an incarnation that has terminated, and ends its runs. If `successor` runs under the
    /// same id now, runs that may still start are first stopped there.
    pub(super) fn remove_minion(
        &mut self,
        id: &Name,
        successor: Option<&Name>,
        cause: TerminationCause,
        now: Now,
    ) {
        let Some(minion) = self.minions.get(id) else { return };
        let cause = if minion.info.draining { TerminationCause::Planned } else { cause };
        let runs: Vec<_> = minion.runs.iter().copied().collect();
        let agent = minion.agent.clone();
        let late = minion.expired_runs.clone();
        let mut young = late.clone();
        self.log(format!("minion={id} event=terminated cause={cause} runs={}", runs.len()));
        young.extend(self.young_runs(id, now));
        if cause != TerminationCause::Planned {
            self.log_young_runs(id, &young);
        }
        let ended = if let Some(successor) = successor {
            self.stop_late_runs_on(successor, &agent, runs, now)
        } else {
            runs
        };
        self.drop_copies_of_minion(id, now);
        for task in ended {
            self.end_run(task, EndKind::LeaseExpired, &Name::default(), now);
        }
        self.minions.remove(id);
        for agent in self.agents.values_mut().filter(|agent| agent.minion.as_ref() == Some(id)) {
            agent.minion = None;
        }
        if cause == TerminationCause::Crashed {
            self.record_crash(id, &agent, &young, now);
            self.require_lone_starts(&late, now);
        }
    }
}
