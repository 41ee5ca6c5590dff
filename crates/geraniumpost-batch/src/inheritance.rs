use std::collections::BTreeMap;
use std::net::SocketAddr;

use geraniumpost_schema::Name;
use serde::{Deserialize, Serialize};

use crate::lease_expiry_bound_ms;
use crate::tuning::STORE_OUTAGE_TOLERANCE_MS;

/// A coordinator that fell silent.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct SilentCoordinator {
    /// Its term. A process at its address that knows of a later one has ended this one.
    pub term: u64,
    /// How long leases may last that it extends, in milliseconds.
    pub remaining_ms: u64,
}

/// What a coordinator leaves to its successor: whose leases may last for how long.
///
/// A successor does not know which leases earlier coordinators extended. One that counts only with its
/// direct predecessor forgets those who fell silent before that, and starts tasks that still run beside
/// an agent which one of them reaches. One that counts with a whole lease for every agent begins to wait
/// anew at each planned handover, and users miss a crashed minion's standing tasks all that time. All
/// times are milliseconds from the moment at which this is told, so that no clocks are compared; read
/// later, they are too long and never too short.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct PredecessorLeases {
    /// Coordinators that fell silent and may live on, and how long leases may last that they extend.
    pub silent: BTreeMap<SocketAddr, SilentCoordinator>,
    /// Agents that the last coordinator did not reach when it stepped down, and how long their leases may
    /// last if no silent coordinator extends them.
    pub unreached: BTreeMap<Name, u64>,
}

impl PredecessorLeases {
    /// Returns what a coordinator at `own` inherits, whose predecessor left this behind. That one is named
    /// with its term if it only fell silent.
    #[must_use]
    pub fn after_takeover(
        mut self,
        silent: Option<(SocketAddr, u64)>,
        own: SocketAddr,
        lease_ms: u64,
    ) -> Self {
        if let Some((address, term)) = silent {
            // It goes on for as long as one that misses the store may.
            let remaining_ms = STORE_OUTAGE_TOLERANCE_MS + lease_expiry_bound_ms(lease_ms);
            self.silent.insert(address, SilentCoordinator { term, remaining_ms });
            self.unreached.clear();
        }
        // An earlier term at the own address has ended, but it may have reached any agent a moment ago.
        if self.silent.remove(&own).is_some() {
            self.unreached.clear();
        }
        self
    }

    /// Returns what is left of it after so many milliseconds.
    #[must_use]
    pub fn aged_by(mut self, ms: u64) -> Self {
        self.silent.retain(|_, silent| silent.remaining_ms > ms);
        self.silent.values_mut().for_each(|silent| silent.remaining_ms -= ms);
        self.unreached
            .values_mut()
            .for_each(|remaining_ms| *remaining_ms = remaining_ms.saturating_sub(ms));
        self
    }

    /// Returns it as it holds for as long as its coordinator goes on and may yet reach any agent.
    #[must_use]
    pub fn while_coordinating(mut self) -> Self {
        self.unreached.clear();
        self
    }
}
