use crate::{
    Millis,
    jobs::{LeaseHolder, Takeover},
};

/// How long earlier planners may keep agents going that this one cannot reach.
///
/// A planner that loses the store goes on granting holds, so that a store outage alone stops no
/// running work. The price is paid here: runs on an agent out of reach are given away only when the
/// last possible hold has run out, unless each earlier planner is known to have stopped.
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
        let some = takeover.earlier_dropped || !takeover.earlier.is_empty();
        let wait = if some { takeover.outage_hold_ms } else { 0 };
        Self {
            earlier: takeover.earlier.clone(),
            earlier_dropped: takeover.earlier_dropped,
            grants_until: takeover.at.plus(with_drift(wait)),
            hold_ms: takeover.hold_ms,
            reported: false,
        }
    }

    /// Takes in the proof that one of them has stopped.
    pub(super) fn gone(&mut self, holder: &LeaseHolder, now: Millis) {
        let known = self.earlier.len();
        self.earlier.retain(|other| other != holder);
        if self.earlier.len() < known && self.earlier.is_empty() && !self.earlier_dropped {
            self.grants_until = self.grants_until.min(now);
        }
    }

    /// Returns when the last hold that they may have granted ends.
    pub(super) fn hold_until(&self) -> Millis {
        self.grants_until.plus(self.hold_ms)
    }

    /// Returns true once, when none of them can grant holds any more.
    pub(super) fn newly_settled(&mut self, now: Millis) -> bool {
        let settled = !self.reported && now >= self.grants_until;
        self.reported |= settled;
        settled
    }
}

/// Adds what a clock may lose over a long wait.
const fn with_drift(ms: u64) -> u64 {
    ms + ms / 100
}
