//! Leases that beats extend, and the end of what ran under those that have lapsed.

use geraniumpost_schema::Name;

use super::minion::Minion;
use super::{Coordinator, Effect};
use crate::tuning::{LEASE_EXPIRY_MARGIN_MS, LEASE_EXPIRY_PERCENT, STORE_UNREACHABLE_MS};
use crate::{EndKind, Now, ToAgent};

/// Time that an agent is given after it has linked to show its minion's lists, in milliseconds; most need
/// less than half of it.
const LISTS_MS: u64 = 1_000;

/// Returns after how many milliseconds a lease that holds for `lease_ms` has surely lapsed, on the
/// slowest clock that a minion may have.
pub const fn lease_expiry_bound_ms(lease_ms: u64) -> u64 {
    lease_ms * LEASE_EXPIRY_PERCENT / 100 + LEASE_EXPIRY_MARGIN_MS
}

impl Coordinator {
    /// Answers an agent's beat, and extends the lease of what its minion runs.
    pub(super) fn extend_lease(
        &mut self,
        agent: &Name,
        sent_at_ms: u64,
        minion_ok: bool,
        now: Now,
    ) {
        let silent_ms = now.steady_ms.saturating_sub(self.confirmed_ms);
        let extend = minion_ok && self.lease_basis(now).is_some();
        let lease_ms = if extend { self.lease_ms } else { 0 };
        if extend {
            self.agent_reached(agent);
            // The agent counts from its own sending, which was earlier than this moment.
            let lapsed_ms = now.steady_ms + lease_expiry_bound_ms(lease_ms);
            let known = self.agents.entry(agent.clone()).or_default();
            known.lapsed_ms = known.lapsed_ms.max(lapsed_ms);
        }
        self.agents.entry(agent.clone()).or_default().heard_ms = now.steady_ms;
        for minion in self.minions.values_mut().filter(|minion| minion.agent == *agent) {
            self.placing_due |= minion_ok && !minion.answers;
            minion.answers = minion_ok;
        }
        let store_ok = silent_ms < STORE_UNREACHABLE_MS;
        let message = ToAgent::Lease { sent_at_ms, lease_ms, fence: self.fence, store_ok };
        self.effects.push(Effect::Send { agent: agent.clone(), message });
    }

    /// Returns when all that runs beside an agent has surely ended if its lease is not extended any more,
    /// on the steady clock, and whether leases of earlier coordinators decide that rather than its own.
    pub(super) fn lapses(&self, agent: &Name) -> (u64, bool) {
        let inherited_ms = self.inherited.until_ms(agent);
        let Some(agent) = self.agents.get(agent) else { return (inherited_ms, true) };
        // An agent that has linked to this coordinator obeys no earlier one any more.
        let linked_ms =
            agent.linked_ms.map(|linked_ms| linked_ms + lease_expiry_bound_ms(self.lease_ms));
        let inherited_ms = linked_ms.unwrap_or(inherited_ms).min(inherited_ms);
        (agent.lapsed_ms.max(inherited_ms), inherited_ms > agent.lapsed_ms)
    }

    fn has_lapsed(&self, agent: &Name, now: Now) -> bool {
        now.steady_ms >= self.lapses(agent).0
    }

    /// Returns whether a minion's lists will be read in a moment, as its agent has just linked. They tell
    /// what was done before the lease was over, and need not be done again.
    fn is_about_to_show(&self, minion: &Minion, now: Now) -> bool {
        let opened_ms = self.agents.get(&minion.agent).map_or(0, |agent| agent.link_opened_ms);
        minion.linked && !minion.looked && now.steady_ms < opened_ms + LISTS_MS
    }

    /// Ends what ran on minions whose leases have surely lapsed.
    pub(super) fn lapse(&mut self, now: Now) {
        let lapsed: Vec<Name> = self
            .minions
            .iter()
            .filter(|(_, minion)| !minion.runs.is_empty() && self.has_lapsed(&minion.agent, now))
            .filter(|(_, minion)| !self.is_about_to_show(minion, now))
            .map(|(id, _)| id.clone())
            .collect();
        for id in lapsed {
            let Some(minion) = self.minions.get(&id) else { continue };
            let runs: Vec<_> = minion.runs.iter().copied().collect();
            self.note(format!("minion={id} event=lease_expired runs={}", runs.len()));
            for task in runs {
                self.end_run(task, EndKind::LeaseExpired, &Name::default(), now);
            }
        }
    }
}
