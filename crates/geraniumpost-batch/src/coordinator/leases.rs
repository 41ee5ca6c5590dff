//! Extension of leases by heartbeats, and the end of runs whose lease has expired.

use geraniumpost_schema::Name;

use super::minion::Minion;
use super::{Coordinator, Effect};
use crate::tuning::{LEASE_EXPIRY_BOUND_PERCENT, LEASE_EXPIRY_MARGIN_MS, MAX_CONFIRMATION_AGE_MS};
use crate::{EndKind, Now, ToAgent};

/// Time that an agent has after its link opened to report its minion's lists, in milliseconds; most
/// agents need less than half of this time.
const POLL_GRACE_MS: u64 = 1_000;

/// Returns the time in milliseconds after which a lease of `lease_ms` has expired even on the
/// slowest clock that a minion may have.
pub const fn lease_expiry_bound_ms(lease_ms: u64) -> u64 {
    lease_ms * LEASE_EXPIRY_BOUND_PERCENT / 100 + LEASE_EXPIRY_MARGIN_MS
}

impl Coordinator {
    /// Responds to an agent's heartbeat. Extends the lease on its minion's tasks if the minion
    /// responds to the agent and this coordinator may extend leases.
    pub(super) fn handle_heartbeat(
        &mut self,
        agent: &Name,
        sent_at_ms: u64,
        minion_ok: bool,
        now: Now,
    ) {
        let store_age_ms = now.steady_ms.saturating_sub(self.confirmed_ms);
        let extend = minion_ok && self.lease_basis(now).is_some();
        let lease_ms = if extend { self.lease_ms } else { 0 };
        if extend {
            self.record_agent_reached(agent);
            // The agent's lease begins when the agent sent the heartbeat, and so expires before
            // this bound.
            let lease_expiry_ms = now.steady_ms + lease_expiry_bound_ms(lease_ms);
            let state = self.agents.entry(agent.clone()).or_default();
            state.lease_expiry_ms = state.lease_expiry_ms.max(lease_expiry_ms);
        }
        let state = self.agents.entry(agent.clone()).or_default();
        state.last_heard_ms = now.steady_ms;
        state.heartbeat_sent_at_ms = Some(sent_at_ms);
        for minion in self.minions.values_mut().filter(|minion| minion.agent == *agent) {
            self.placement_due |= minion_ok && !minion.responsive;
            minion.responsive = minion_ok;
        }
        let store_ok = store_age_ms < MAX_CONFIRMATION_AGE_MS;
        let message = ToAgent::Lease { sent_at_ms, lease_ms, fence: self.fence, store_ok };
        self.effects.push(Effect::Send { agent: agent.clone(), message });
    }

    /// Returns the time by which all runs on an agent's minion have certainly ended unless the
    /// lease is extended again, on the monotonic clock, and whether leases of earlier coordinators
    /// determine that time.
    pub(super) fn lease_expiry_ms_and_origin(&self, agent: &Name) -> (u64, bool) {
        let predecessor_ms = self.predecessor_expiry.lease_expiry_ms(agent);
        let Some(agent) = self.agents.get(agent) else { return (predecessor_ms, true) };
        // An agent that has linked to this coordinator accepts no lease from an earlier
        // coordinator.
        let link_expiry_ms =
            agent.first_linked_ms.map(|linked_ms| linked_ms + lease_expiry_bound_ms(self.lease_ms));
        let predecessor_ms = link_expiry_ms.unwrap_or(predecessor_ms).min(predecessor_ms);
        (agent.lease_expiry_ms.max(predecessor_ms), predecessor_ms > agent.lease_expiry_ms)
    }

    fn is_lease_expired(&self, agent: &Name, now: Now) -> bool {
        now.steady_ms >= self.lease_expiry_ms_and_origin(agent).0
    }

    /// Returns whether a minion is about to be polled, because its agent has just linked. The
    /// minion's lists show which runs ended before the lease expired; the tasks of these runs need
    /// not run again.
    fn is_awaiting_poll(&self, minion: &Minion, now: Now) -> bool {
        let opened_ms = self.agents.get(&minion.agent).map_or(0, |agent| agent.link_opened_ms);
        minion.linked && !minion.polled && now.steady_ms < opened_ms + POLL_GRACE_MS
    }

    /// Treats the runs on minions whose leases have certainly expired as ended, except on minions
    /// that are about to be polled.
    pub(super) fn expire_leases(&mut self, now: Now) {
        let expired: Vec<Name> = self
            .minions
            .iter()
            .filter(|(_, minion)| {
                let is_busy = !minion.runs.is_empty() || !minion.copies.is_empty();
                is_busy && self.is_lease_expired(&minion.agent, now)
            })
            .filter(|(_, minion)| !self.is_awaiting_poll(minion, now))
            .map(|(id, _)| id.clone())
            .collect();
        for id in expired {
            let Some(minion) = self.minions.get(&id) else { continue };
            let runs: Vec<_> = minion.runs.iter().copied().collect();
            self.log(format!("minion={id} event=lease_expired runs={}", runs.len()));
            let young = self.young_runs(&id, now);
            if let Some(minion) = self.minions.get_mut(&id) {
                minion.expired_runs = young;
                minion.runs_expired_ms = now.steady_ms;
            }
            self.drop_copies_of_minion(&id, now);
            for task in runs {
                self.end_run(task, EndKind::LeaseExpired, &Name::default(), now);
            }
        }
    }
}
