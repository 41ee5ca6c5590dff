//! Log lines about runs that are kept because their minions are unreachable.
//!
//! Such a run is not replaced before its lease has certainly expired. Until then the task is down,
//! and only these lines tell an operator what the coordinator waits for.

use geraniumpost_schema::Name;

use super::Coordinator;
use super::log_fields::field_unless_zero;
use super::minion::Minion;
use super::wait_monitor::MAX_LINES_PER_CHECK;
use crate::Now;

/// Time that a new coordinator gives agents to link before it logs unreachable minions, in
/// milliseconds; most agents link within half a second.
const LINK_GRACE_MS: u64 = 1_000;
/// Times at which a new coordinator logs how long it waits for a predecessor's leases, in
/// milliseconds after its start: at once, because its term may be short, and when most agents have
/// linked.
const PREDECESSOR_WAIT_LOG_DELAYS_MS: [u64; 2] = [0, LINK_GRACE_MS];

impl Minion {
    /// Returns whether neither orders nor leases reach the minion.
    pub(super) const fn is_unreachable(&self) -> bool {
        !self.linked || !self.responsive
    }
}

impl Coordinator {
    /// Logs how long this coordinator waits for a predecessor's leases, how many minions have runs,
    /// and how many of these minions are not linked.
    pub(super) fn log_predecessor_wait(&mut self, now: Now) {
        let Some(after_ms) =
            PREDECESSOR_WAIT_LOG_DELAYS_MS.get(self.wait_state.predecessor_wait_lines)
        else {
            return;
        };
        let wait_ms = self
            .predecessor_expiry
            .lease_expiry_unless_unreached_ms()
            .saturating_sub(now.steady_ms);
        if wait_ms == 0 || now.steady_ms < self.wait_state.started_ms + after_ms {
            return;
        }
        self.wait_state.predecessor_wait_lines += 1;
        let with_runs = self.minions.values().filter(|minion| !minion.runs.is_empty());
        let (minions, linked) =
            with_runs.fold((0, 0), |(all, linked), m| (all + 1, linked + u32::from(m.linked)));
        self.log(format!(
            "event=predecessor_lease_wait wait_ms={wait_ms} minions_with_runs={minions} \
             not_linked={}",
            minions - linked
        ));
    }

    /// Logs each unreachable minion with runs, and logs the same minion again only after it was
    /// reachable or had no runs in between.
    pub(super) fn log_unreachable(&mut self, now: Now) {
        if now.steady_ms < self.wait_state.started_ms + LINK_GRACE_MS {
            return;
        }
        let is_kept = |minion: &&Minion| minion.is_unreachable() && !minion.runs.is_empty();
        let unreachable: Vec<&Name> =
            self.minions.iter().filter(|(_, minion)| is_kept(minion)).map(|(id, _)| id).collect();
        self.wait_state.logged_unreachable.retain(|id| unreachable.binary_search(&id).is_ok());
        let unlogged =
            unreachable.into_iter().filter(|id| !self.wait_state.logged_unreachable.contains(*id));
        let mut due: Vec<(std::cmp::Reverse<usize>, Name)> = unlogged
            .map(|id| (std::cmp::Reverse(self.persistent_task_count(id)), id.clone()))
            .collect();
        due.sort_unstable();
        let omitted = due.len().saturating_sub(MAX_LINES_PER_CHECK);
        due.truncate(MAX_LINES_PER_CHECK);
        for (persistent, id) in due {
            self.log_unreachable_minion(&id, persistent.0, omitted, now);
            self.wait_state.logged_unreachable.insert(id);
        }
    }

    fn persistent_task_count(&self, id: &Name) -> usize {
        let tasks = self.minions.get(id).into_iter().flat_map(|minion| &minion.runs);
        tasks.filter(|task| self.step_spec(**task).is_some_and(|step| step.persistent)).count()
    }

    /// Logs how long a minion's runs are kept, and whose lease determines that.
    fn log_unreachable_minion(&mut self, id: &Name, persistent: usize, omitted: usize, now: Now) {
        let Some(minion) = self.minions.get(id) else { return };
        let (until_ms, from_predecessor) = self.lease_expiry_ms_and_origin(&minion.agent);
        let line = format!(
            "minion={id} agent={} event=unreachable linked={} runs={} persistent={persistent} \
             wait_ms={} lease_of={}{}",
            minion.agent,
            minion.linked,
            minion.runs.len(),
            until_ms.saturating_sub(now.steady_ms),
            if from_predecessor { "predecessor" } else { "coordinator" },
            field_unless_zero("omitted", omitted as u64),
        );
        self.log(line);
    }
}
