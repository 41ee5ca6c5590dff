//! Leases that earlier coordinators may have extended, and what remains of them for a successor.

use std::collections::BTreeMap;
use std::net::SocketAddr;

use geraniumpost_schema::Name;

use super::{Coordinator, lease_expiry_bound_ms};
use crate::{Now, PredecessorLeases, SilentCoordinator};

/// Age of an agent's last lease extension from which the agent is reported to a successor, in
/// milliseconds: three heartbeats. Other agents usually link to the successor at once.
const UNREACHED_AFTER_MS: u64 = 1_500;

/// A coordinator that stopped answering, and when the leases that it may extend have expired.
#[derive(Debug, Clone, Copy)]
struct SilentExpiry {
    term: u64,
    until_ms: u64,
}

/// When leases that earlier coordinators may have extended have expired, on the steady clock.
#[derive(Debug, Default)]
pub(super) struct PredecessorExpiry {
    /// Leases that the direct predecessor extended.
    pub(super) predecessor_ms: u64,
    /// Leases that coordinators which stopped answering may still extend, by address.
    silent: BTreeMap<SocketAddr, SilentExpiry>,
    /// Leases of agents that the direct predecessor did not reach when it stepped down.
    unreached: BTreeMap<Name, u64>,
}

impl PredecessorExpiry {
    fn new(leases: &PredecessorLeases, lease_ms: u64, now: Now) -> Self {
        let from_now = |ms: &u64| now.steady_ms + ms;
        let expiry = |silent: &SilentCoordinator| SilentExpiry {
            term: silent.term,
            until_ms: from_now(&silent.remaining_ms),
        };
        Self {
            predecessor_ms: now.steady_ms + lease_expiry_bound_ms(lease_ms),
            silent: leases.silent.iter().map(|(at, silent)| (*at, expiry(silent))).collect(),
            unreached: leases
                .unreached
                .iter()
                .map(|(agent, ms)| (agent.clone(), from_now(ms)))
                .collect(),
        }
    }

    /// Returns until when an agent's leases may last.
    pub(super) fn until_ms(&self, agent: &Name) -> u64 {
        self.silent
            .values()
            .map(|expiry| expiry.until_ms)
            .fold(self.without_silent_ms(agent), u64::max)
    }

    /// Returns until when the leases of an agent without specific information may last.
    pub(super) fn latest_ms(&self) -> u64 {
        self.silent.values().map(|expiry| expiry.until_ms).fold(self.predecessor_ms, u64::max)
    }

    /// Returns until when an agent's leases may last if no silent coordinator extends them.
    fn without_silent_ms(&self, agent: &Name) -> u64 {
        self.unreached.get(agent).copied().unwrap_or(self.predecessor_ms)
    }
}

impl Coordinator {
    /// Sets the leases that a predecessor may have left. Call it after [`Self::with_lease_ms`], whose
    /// value it uses.
    #[must_use]
    pub fn with_predecessor_leases(mut self, leases: &PredecessorLeases, now: Now) -> Self {
        self.predecessor_expiry = PredecessorExpiry::new(leases, self.lease_ms, now);
        self
    }

    /// Records that the silent coordinator at an address has ended its term and extends no more
    /// leases.
    ///
    /// Without this, a successor waits for as long as a silent coordinator may extend leases
    /// without the store, and persistent tasks whose agents departed meanwhile stay down all that
    /// time. Afterwards only the leases that it has extended so far remain. Leases of other silent
    /// coordinators are not affected.
    pub fn record_predecessor_end(&mut self, address: SocketAddr, now: Now) {
        self.record_predecessor_extension_end(address, now.steady_ms);
    }

    /// Records that the silent coordinator at an address extends no leases after a time on the
    /// steady clock, as the store names another coordinator and too few entries support the silent
    /// one.
    pub fn record_predecessor_extension_end(&mut self, address: SocketAddr, steady_ms: u64) {
        let until_ms = steady_ms + lease_expiry_bound_ms(self.lease_ms);
        let Some(expiry) = self.predecessor_expiry.silent.get_mut(&address) else { return };
        let earlier_by_ms = expiry.until_ms.saturating_sub(until_ms);
        expiry.until_ms = until_ms.min(expiry.until_ms);
        self.log(format!("event=predecessor_ended at={address} earlier_by_ms={earlier_by_ms}"));
        self.leases_for_successor_changed = true;
    }

    /// Returns the leases that a successor has to wait for at this moment.
    pub fn leases_for_successor(&self, now: Now) -> PredecessorLeases {
        let left = |until_ms: &u64| until_ms.saturating_sub(now.steady_ms);
        let silent = self.predecessor_expiry.silent.iter().map(|(at, expiry)| {
            (*at, SilentCoordinator { term: expiry.term, remaining_ms: left(&expiry.until_ms) })
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
    /// successor must not take an agent that is reached again for one whose lease ends soon.
    pub const fn take_leases_for_successor_changed(&mut self) -> bool {
        std::mem::replace(&mut self.leases_for_successor_changed, false)
    }

    /// Records that an agent is reached, before its lease is extended.
    pub(super) fn agent_reached(&mut self, agent: &Name) {
        self.leases_for_successor_changed |= self.unreached_agents.remove(agent).is_some();
    }

    /// Updates the agents that are not reached although their minions have runs.
    pub(super) fn update_unreached_agents(&mut self, now: Now) {
        let current_expiry_ms = now.steady_ms + lease_expiry_bound_ms(self.lease_ms);
        let lease_expiry_ms =
            |agent: &Name| self.agents.get(agent).map_or(0, |agent| agent.lease_expiry_ms);
        let busy = self.minions.values().filter(|minion| !minion.runs.is_empty());
        let unreached: BTreeMap<Name, u64> = busy
            .map(|minion| (&minion.agent, lease_expiry_ms(&minion.agent)))
            .filter(|(_, lease_expiry_ms)| {
                lease_expiry_ms + UNREACHED_AFTER_MS <= current_expiry_ms
            })
            .map(|(agent, lease_expiry_ms)| {
                (
                    agent.clone(),
                    lease_expiry_ms.max(self.predecessor_expiry.without_silent_ms(agent)),
                )
            })
            .collect();
        self.leases_for_successor_changed |= unreached != self.unreached_agents;
        self.unreached_agents = unreached;
    }
}
