//! Leases that earlier coordinators may have extended, and their remaining durations for a
//! successor.

use std::collections::BTreeMap;
use std::net::SocketAddr;

use geraniumpost_schema::Name;

use super::{Coordinator, lease_expiry_bound_ms};
use crate::{Now, PredecessorLeases, SilentCoordinator};

/// Age of an agent's last lease extension at which the agent is reported to a successor as
/// unreached, in milliseconds: three heartbeats. Other agents usually link to the successor at
/// once.
const UNREACHED_TIMEOUT_MS: u64 = 1_500;

/// Term of a silent coordinator, and the time on the monotonic clock by which all leases that the
/// silent coordinator may still extend have expired.
#[derive(Debug, Clone, Copy)]
struct SilentLeaseExpiry {
    term: u64,
    expiry_ms: u64,
}

/// Expiry times, on the monotonic clock, of the leases that earlier coordinators may have extended.
#[derive(Debug, Default)]
pub(super) struct PredecessorExpiry {
    /// Expiry of the leases that the direct predecessor extended.
    pub(super) direct_predecessor_expiry_ms: u64,
    /// Expiry of the leases that silent coordinators may still extend, by the coordinator's
    /// address.
    silent: BTreeMap<SocketAddr, SilentLeaseExpiry>,
    /// Expiry of the leases of agents that the direct predecessor did not reach when it stepped
    /// down.
    unreached: BTreeMap<Name, u64>,
}

impl PredecessorExpiry {
    fn new(leases: &PredecessorLeases, lease_ms: u64, now: Now) -> Self {
        let from_now = |ms: &u64| now.steady_ms + ms;
        let expiry = |silent: &SilentCoordinator| SilentLeaseExpiry {
            term: silent.term,
            expiry_ms: from_now(&silent.remaining_ms),
        };
        Self {
            direct_predecessor_expiry_ms: now.steady_ms + lease_expiry_bound_ms(lease_ms),
            silent: leases
                .silent
                .iter()
                .map(|(address, silent)| (*address, expiry(silent)))
                .collect(),
            unreached: leases
                .unreached
                .iter()
                .map(|(agent, ms)| (agent.clone(), from_now(ms)))
                .collect(),
        }
    }

    /// Returns the time by which an agent's leases from earlier coordinators have expired.
    pub(super) fn lease_expiry_ms(&self, agent: &Name) -> u64 {
        self.silent
            .values()
            .map(|expiry| expiry.expiry_ms)
            .fold(self.lease_expiry_without_silent_ms(agent), u64::max)
    }

    /// Returns the time by which leases from earlier coordinators have expired for an agent that
    /// the direct predecessor did not report as unreached.
    pub(super) fn lease_expiry_unless_unreached_ms(&self) -> u64 {
        self.silent
            .values()
            .map(|expiry| expiry.expiry_ms)
            .fold(self.direct_predecessor_expiry_ms, u64::max)
    }

    /// Returns the time by which an agent's leases have expired if no silent coordinator extends
    /// them.
    fn lease_expiry_without_silent_ms(&self, agent: &Name) -> u64 {
        self.unreached.get(agent).copied().unwrap_or(self.direct_predecessor_expiry_ms)
    }
}

impl Coordinator {
    /// Sets the leases that predecessors may have extended. Must be called after
    /// [`Self::with_lease_ms`], because the expiry of the leases depends on that duration.
    #[must_use]
    pub fn with_predecessor_leases(mut self, leases: &PredecessorLeases, now: Now) -> Self {
        self.predecessor_expiry = PredecessorExpiry::new(leases, self.lease_ms, now);
        self
    }

    /// Records that the silent coordinator at an address has ended its term and no longer extends
    /// leases.
    ///
    /// Without this report, a successor waits for as long as a silent coordinator may extend leases
    /// without the store, and persistent tasks whose agents departed meanwhile stay down all that
    /// time. With the report, only the leases that the silent coordinator has extended so far
    /// remain. Leases of other silent coordinators are not affected.
    pub fn record_predecessor_term_end(&mut self, address: SocketAddr, now: Now) {
        self.limit_predecessor_leases(address, now.steady_ms);
    }

    /// Records that the silent coordinator at an address extends no leases after a time on the
    /// monotonic clock, because the store's key belongs to another coordinator and too few entries
    /// support the silent coordinator.
    pub fn limit_predecessor_leases(&mut self, address: SocketAddr, steady_ms: u64) {
        let until_ms = steady_ms + lease_expiry_bound_ms(self.lease_ms);
        let Some(expiry) = self.predecessor_expiry.silent.get_mut(&address) else { return };
        let earlier_by_ms = expiry.expiry_ms.saturating_sub(until_ms);
        expiry.expiry_ms = until_ms.min(expiry.expiry_ms);
        self.log(format!("event=predecessor_ended at={address} earlier_by_ms={earlier_by_ms}"));
        self.leases_for_successor_changed = true;
    }

    /// Returns the leases for which a successor would have to wait if it took over now.
    pub fn leases_for_successor(&self, now: Now) -> PredecessorLeases {
        let left = |until_ms: &u64| until_ms.saturating_sub(now.steady_ms);
        let silent = self.predecessor_expiry.silent.iter().map(|(address, expiry)| {
            (
                *address,
                SilentCoordinator { term: expiry.term, remaining_ms: left(&expiry.expiry_ms) },
            )
        });
        let unreached =
            self.unreached_agents.iter().map(|(agent, until)| (agent.clone(), left(until)));
        PredecessorLeases {
            silent: silent.filter(|(_, silent)| silent.remaining_ms > 0).collect(),
            unreached: unreached.collect(),
        }
    }

    /// Returns whether [`Self::leases_for_successor`] has changed since the last call, other than
    /// by the passage of time.
    ///
    /// The driver passes the change to the store's writer before it performs any effects: a
    /// successor must not assume that the lease of an agent that is reached again ends soon.
    pub const fn take_leases_for_successor_changed(&mut self) -> bool {
        std::mem::replace(&mut self.leases_for_successor_changed, false)
    }

    /// Records that an agent is reached, before its lease is extended.
    pub(super) fn record_agent_reached(&mut self, agent: &Name) {
        self.leases_for_successor_changed |= self.unreached_agents.remove(agent).is_some();
    }

    /// Updates the set of agents that are not reached although their minions have runs.
    pub(super) fn update_unreached_agents(&mut self, now: Now) {
        let current_expiry_ms = now.steady_ms + lease_expiry_bound_ms(self.lease_ms);
        let lease_expiry_ms =
            |agent: &Name| self.agents.get(agent).map_or(0, |agent| agent.lease_expiry_ms);
        let busy = self.minions.values().filter(|minion| !minion.runs.is_empty());
        let unreached: BTreeMap<Name, u64> = busy
            .map(|minion| (&minion.agent, lease_expiry_ms(&minion.agent)))
            .filter(|(_, lease_expiry_ms)| {
                lease_expiry_ms + UNREACHED_TIMEOUT_MS <= current_expiry_ms
            })
            .map(|(agent, lease_expiry_ms)| {
                (
                    agent.clone(),
                    lease_expiry_ms
                        .max(self.predecessor_expiry.lease_expiry_without_silent_ms(agent)),
                )
            })
            .collect();
        self.leases_for_successor_changed |= unreached != self.unreached_agents;
        self.unreached_agents = unreached;
    }
}
