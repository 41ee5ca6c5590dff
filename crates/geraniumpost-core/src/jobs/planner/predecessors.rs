use crate::{
    Millis,
    jobs::{LeaseHolder, Takeover},
};

/// How long earlier planners may extend the leases of agents that this planner cannot reach.
///
/// A planner that loses the store continues to grant agent leases, so that a store outage alone
/// does not stop running tasks. In return, runs on an unreachable agent are reassigned only after
/// the last possible lease has expired, unless every earlier planner is known to have stopped.
#[derive(Debug, Clone)]
pub(super) struct Predecessors {
    earlier: Vec<LeaseHolder>,
    earlier_dropped: bool,
    grants_until: Millis,
    hold_ms: u64,
    reported: bool,
}

impl Predecessors {
    pub(super) fn new(takeover: &Takeover) -> Self {
        let any = takeover.earlier_dropped || !takeover.earlier.is_empty();
        let wait = if any { takeover.outage_hold_ms } else { 0 };
        Self {
            earlier: takeover.earlier.clone(),
            earlier_dropped: takeover.earlier_dropped,
            grants_until: takeover.at.plus(with_drift(wait)),
            hold_ms: takeover.hold_ms,
            reported: false,
        }
    }

    /// Records that an earlier planner no longer grants leases. Once this is known of all earlier
    /// planners, only the leases that they have already granted may remain.
    pub(super) fn mark_stopped(&mut self, holder: &LeaseHolder, now: Millis) {
        let known = self.earlier.len();
        self.earlier.retain(|other| other != holder);
        if self.earlier.len() < known && self.earlier.is_empty() && !self.earlier_dropped {
            self.grants_until = self.grants_until.min(now);
        }
    }

    /// Returns the time at which the last lease that the earlier planners may have granted expires.
    pub(super) fn leases_until(&self) -> Millis {
        self.grants_until.plus(self.hold_ms)
    }

    /// Returns true in the first call after the earlier planners can no longer grant leases, and
    /// false in all other calls.
    pub(super) fn check_newly_expired(&mut self, now: Millis) -> bool {
        let expired = !self.reported && now >= self.grants_until;
        self.reported |= expired;
        expired
    }
}

/// Adds one percent to a duration, which is assumed as the maximum drift between two VMs' clocks.
const fn with_drift(ms: u64) -> u64 {
    ms + ms / 100
}
