use std::collections::BTreeMap;
use std::net::SocketAddr;

use geraniumpost_schema::Name;
use serde::{Deserialize, Serialize};

use crate::lease_expiry_bound_ms;
use crate::tuning::STORE_OUTAGE_TOLERANCE_MS;

/// A coordinator that stopped answering without stepping down.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct SilentCoordinator {
    /// Its term. A process at its address that knows a later term no longer coordinates in this
    /// one.
    pub term: u64,
    /// How long leases that it extends may last, in milliseconds.
    pub remaining_ms: u64,
}

/// Leases that earlier coordinators may have extended, as a coordinator reports them to its
/// successor.
///
/// A successor does not know which leases its predecessors extended. If it considered only its
/// direct predecessor, it would miss coordinators that stopped answering earlier, and would start
/// tasks that still run beside an agent which one of those reaches. If it assumed a full lease for
/// every agent, the wait would start again at each planned handover, and the persistent tasks of a
/// crashed minion would be down all that time.
///
/// All times are in milliseconds from the moment of reporting, so that no two clocks are compared.
/// A value that is read late is too long and never too short.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct PredecessorLeases {
    /// Coordinators that stopped answering and may still be running, by address.
    pub silent: BTreeMap<SocketAddr, SilentCoordinator>,
    /// Agents that the last coordinator did not reach when it stepped down, and how long their
    /// leases may last in milliseconds, unless a silent coordinator extends them.
    pub unreached: BTreeMap<Name, u64>,
}

impl PredecessorLeases {
    /// Returns the leases that a coordinator at address `own` has to expect, given those that its
    /// predecessor reported. `silent` is the predecessor's address and term if it stopped
    /// answering, `None` if it stepped down.
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
        // An earlier term at this address has ended, but it may have extended any agent's lease
        // until now.
        if self.silent.remove(&own).is_some() {
            self.unreached.clear();
        }
        self
    }

    /// Returns the leases as they are `ms` milliseconds later; expired ones of silent coordinators
    /// are left out.
    #[must_use]
    pub fn aged_by(mut self, ms: u64) -> Self {
        self.silent.retain(|_, silent| silent.remaining_ms > ms);
        self.silent.values_mut().for_each(|silent| silent.remaining_ms -= ms);
        self.unreached
            .values_mut()
            .for_each(|remaining_ms| *remaining_ms = remaining_ms.saturating_sub(ms));
        self
    }

    /// Returns the leases without the unreached agents, for a record that is valid while its
    /// coordinator runs and may still reach any agent.
    #[must_use]
    pub fn while_coordinating(mut self) -> Self {
        self.unreached.clear();
        self
    }
}
