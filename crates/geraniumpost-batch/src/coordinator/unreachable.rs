//! Lines that tell of runs kept because their minions cannot be reached.
//!
//! Such a run goes nowhere else before its lease has surely lapsed. To its users it is down all that
//! time, and without these lines nobody can tell what is waited for.

use geraniumpost_schema::Name;

use super::Coordinator;
use super::minion::Minion;
use super::wait_monitor::{MAX_LINES_PER_CHECK, field_unless_zero};
use crate::Now;

/// How long a new coordinator gives agents to link before it tells which are missing, in
/// milliseconds; most have after half a second.
const LINK_GRACE_MS: u64 = 1_000;
/// After how long a new coordinator tells of the wait that it inherited, in milliseconds: at once, as
/// its term may be short, and once most agents have linked.
const PREDECESSOR_WAIT_LOG_DELAYS_MS: [u64; 2] = [0, LINK_GRACE_MS];

impl Minion {
    /// Returns whether neither orders nor leases reach it.
    pub(super) const fn unreachable(&self) -> bool {
        !self.linked || !self.responsive
    }
}

impl Coordinator {
    /// Tells how long a predecessor's leases are waited for, and on how many minions that may bear.
    pub(super) fn log_predecessor_wait(&mut self, now: Now) {
        let Some(after_ms) =
            PREDECESSOR_WAIT_LOG_DELAYS_MS.get(self.wait_state.predecessor_wait_lines)
        else {
            return;
        };
        let wait_ms = self.predecessor_expiry.latest_ms().saturating_sub(now.steady_ms);
        if wait_ms == 0 || now.steady_ms < self.wait_state.started_ms + after_ms {
            return;
        }
        self.wait_state.predecessor_wait_lines += 1;
        let with_runs = self.minions.values().filter(|minion| !minion.runs.is_empty());
        let (minions, linked) =
            with_runs.fold((0, 0), |(all, linked), m| (all + 1, linked + u32::from(m.linked)));
        self.log(format!(
            "event=predecessor_lease_wait wait_ms={wait_ms} minions_with_runs={minions} not_linked={}",
            minions - linked
        ));
    }

    /// Tells of each minion with runs that cannot be reached, once for each time.
    pub(super) fn log_unreachable(&mut self, now: Now) {
        if now.steady_ms < self.wait_state.started_ms + LINK_GRACE_MS {
            return;
        }
        let unreachable = |minion: &&Minion| minion.unreachable() && !minion.runs.is_empty();
        let unreachable: Vec<&Name> = self
            .minions
            .iter()
            .filter(|(_, minion)| unreachable(minion))
            .map(|(id, _)| id)
            .collect();
        self.wait_state.logged_unreachable.retain(|id| unreachable.binary_search(&id).is_ok());
        let news =
            unreachable.into_iter().filter(|id| !self.wait_state.logged_unreachable.contains(*id));
        let mut due: Vec<(std::cmp::Reverse<usize>, Name)> = news
            .map(|id| (std::cmp::Reverse(self.persistent_task_count(id)), id.clone()))
            .collect();
        due.sort_unstable();
        let left_out = due.len().saturating_sub(MAX_LINES_PER_CHECK);
        due.truncate(MAX_LINES_PER_CHECK);
        for (standing, id) in due {
            self.log_unreachable_minion(&id, standing.0, left_out, now);
            self.wait_state.logged_unreachable.insert(id);
        }
    }

    fn persistent_task_count(&self, id: &Name) -> usize {
        let tasks = self.minions.get(id).into_iter().flat_map(|minion| &minion.runs);
        tasks.filter(|task| self.step_spec(**task).is_some_and(|step| step.persistent)).count()
    }

    /// Tells until when a minion's runs are kept, and what decides that.
    fn log_unreachable_minion(&mut self, id: &Name, standing: usize, left_out: usize, now: Now) {
        let Some(minion) = self.minions.get(id) else { return };
        let (until_ms, inherited) = self.lease_expiry(&minion.agent);
        let line = format!(
            "minion={id} agent={} event=unreachable linked={} runs={} persistent={standing} \
             wait_ms={} lease_of={}{}",
            minion.agent,
            minion.linked,
            minion.runs.len(),
            until_ms.saturating_sub(now.steady_ms),
            if inherited { "predecessor" } else { "coordinator" },
            field_unless_zero("omitted", left_out as u64),
        );
        self.log(line);
    }
}
