use std::collections::BTreeMap;
use std::net::SocketAddr;

use geraniumpost_schema::Name;
use serde::{Deserialize, Serialize};

use crate::lease_expiry_bound_ms;
use crate::tuning::STORE_OUTAGE_TOLERANCE_MS;

/// A coordinator that stopped responding without stepping down.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct SilentCoordinator {
    /// Term of the coordinator. If a process at the coordinator's address knows a later term, this
    /// term has ended.
    pub term: u64,
    /// Time until all leases that the coordinator may still extend have expired, in milliseconds.
    pub remaining_ms: u64,
}

/// Leases that earlier coordinators may have extended, as a coordinator reports them to its
/// successor.
///
/// A successor does not know which leases its predecessors extended. If it considered only its
/// direct predecessor, it would miss coordinators that stopped responding earlier. Such a
/// coordinator may still reach an agent and extend the agent's lease, and the successor would start
/// tasks that still run there. If it assumed a full lease for every agent, the wait would start
/// again at each planned handover, and the persistent tasks of a crashed minion would be down all
/// that time.
///
/// All durations count from the time of the report; readings of two clocks are never compared. A
/// report that is read late gives durations that are too long and never too short.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct PredecessorLeases {
    /// Coordinators that stopped responding and may still be running, by address.
    pub silent: BTreeMap<SocketAddr, SilentCoordinator>,
    /// Agents that the last coordinator did not reach when it stepped down, with the time until
    /// their leases expire in milliseconds, unless a silent coordinator extends them.
    pub unreached: BTreeMap<Name, u64>,
}

impl PredecessorLeases {
    /// Returns the leases that a coordinator at address `own` has to expect, given the leases that
    /// its predecessor reported. `silent` is the predecessor's address and term if it stopped
    /// responding, `None` if it stepped down.
    #[must_use]
    pub fn after_takeover(
        mut self,
        silent: Option<(SocketAddr, u64)>,
        own: SocketAddr,
        lease_ms: u64,
    ) -> Self {
        if let Some((address, term)) = silent {
            // The silent coordinator may extend leases for as long as it tolerates an outage of the
            // store.
            let remaining_ms = STORE_OUTAGE_TOLERANCE_MS + lease_expiry_bound_ms(lease_ms);
            self.silent.insert(address, SilentCoordinator { term, remaining_ms });
            self.unreached.clear();
        }
        // The earlier term at this address has ended, but its coordinator may have extended any
        // agent's lease until now.
        if self.silent.remove(&own).is_some() {
            self.unreached.clear();
        }
        self
    }

    /// Returns the leases as of `ms` milliseconds later, without silent coordinators whose leases
    /// have all expired.
    #[must_use]
    pub fn aged_by(mut self, ms: u64) -> Self {
        self.silent.retain(|_, silent| silent.remaining_ms > ms);
        self.silent.values_mut().for_each(|silent| silent.remaining_ms -= ms);
        self.unreached
            .values_mut()
            .for_each(|remaining_ms| *remaining_ms = remaining_ms.saturating_sub(ms));
        self
    }

    /// Returns these leases without the unreached agents. A running coordinator stores this form,
    /// because it may still reach any of these agents and extend their leases.
    #[must_use]
    pub fn without_unreached(mut self) -> Self {
        self.unreached.clear();
        self
    }
}
