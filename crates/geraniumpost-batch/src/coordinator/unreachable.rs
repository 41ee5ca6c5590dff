//! Lines that tell of runs kept because their minions cannot be reached.
//!
//! Such a run goes nowhere else before its lease has surely lapsed. To its users it is down all that
//! time, and without these lines nobody can tell what is waited for.

use geraniumpost_schema::Name;

use super::Coordinator;
use super::minion::Minion;
use super::waiting::{LINES_AT_ONCE, field_unless_zero};
use crate::Now;

/// How long a new coordinator gives agents to link before it tells which are missing, in
/// milliseconds; most have after half a second.
const LINKING_MS: u64 = 1_000;
/// After how long a new coordinator tells of the wait that it inherited, in milliseconds: at once, as
/// its term may be short, and once most agents have linked.
const TELL_INHERITED_MS: [u64; 2] = [0, LINKING_MS];

impl Minion {
    /// Returns whether neither orders nor leases reach it.
    pub(super) const fn unreachable(&self) -> bool {
        !self.linked || !self.answers
    }
}

impl Coordinator {
    /// Tells how long a predecessor's leases are waited for, and on how many minions that may bear.
    pub(super) fn tell_inherited(&mut self, now: Now) {
        let Some(after_ms) = TELL_INHERITED_MS.get(self.waits.told_inherited) else { return };
        let wait_ms = self.inherited.latest_ms().saturating_sub(now.steady_ms);
        if wait_ms == 0 || now.steady_ms < self.waits.began_ms + after_ms {
            return;
        }
        self.waits.told_inherited += 1;
        let with_runs = self.minions.values().filter(|minion| !minion.runs.is_empty());
        let (minions, linked) =
            with_runs.fold((0, 0), |(all, linked), m| (all + 1, linked + u32::from(m.linked)));
        self.note(format!(
            "event=predecessor_lease_wait wait_ms={wait_ms} minions_with_runs={minions} not_linked={}",
            minions - linked
        ));
    }

    /// Tells of each minion with runs that cannot be reached, once for each time.
    pub(super) fn tell_unreachable(&mut self, now: Now) {
        if now.steady_ms < self.waits.began_ms + LINKING_MS {
            return;
        }
        let cut_off = |minion: &&Minion| minion.unreachable() && !minion.runs.is_empty();
        let cut_off: Vec<&Name> =
            self.minions.iter().filter(|(_, minion)| cut_off(minion)).map(|(id, _)| id).collect();
        self.waits.told_unreachable.retain(|id| cut_off.binary_search(&id).is_ok());
        let news = cut_off.into_iter().filter(|id| !self.waits.told_unreachable.contains(*id));
        let mut due: Vec<(std::cmp::Reverse<usize>, Name)> =
            news.map(|id| (std::cmp::Reverse(self.standing_on(id)), id.clone())).collect();
        due.sort_unstable();
        let left_out = due.len().saturating_sub(LINES_AT_ONCE);
        due.truncate(LINES_AT_ONCE);
        for (standing, id) in due {
            self.tell_kept(&id, standing.0, left_out, now);
            self.waits.told_unreachable.insert(id);
        }
    }

    fn standing_on(&self, id: &Name) -> usize {
        let tasks = self.minions.get(id).into_iter().flat_map(|minion| &minion.runs);
        tasks.filter(|task| self.step_spec(**task).is_some_and(|step| step.persistent)).count()
    }

    /// Tells until when a minion's runs are kept, and what decides that.
    fn tell_kept(&mut self, id: &Name, standing: usize, left_out: usize, now: Now) {
        let Some(minion) = self.minions.get(id) else { return };
        let (until_ms, inherited) = self.lapses(&minion.agent);
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
        self.note(line);
    }
}
