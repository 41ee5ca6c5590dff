use crate::{Demand, Place, StepSpec};

/// A run that exists, may exist or may still come to exist at a minion.
#[derive(Debug, Clone)]
pub(super) struct Run {
    pub(super) place: Place,
    pub(super) number: u32,
    pub(super) order: OrderState,
    /// What it occupies at the minion.
    pub(super) occupied: Demand,
    /// Left-over processors that it would use if it could, in thousandths.
    pub(super) fill_cpus: i64,
    /// Processors that it reserves to serve users within a latency bound, in thousandths; `None`
    /// for a run that serves nobody.
    pub(super) serving_cpus: Option<i64>,
    /// When it was first seen at work.
    pub(super) started_ms: Option<u64>,
    /// Its progress, and when that last changed.
    pub(super) percent: u8,
    pub(super) progressed_ms: u64,
    /// When a look last showed it.
    pub(super) seen_ms: u64,
    /// Share it is told to work at.
    pub(super) pace: u8,
    /// Whether the minion is known to have been told so: not if an order had no answer, nor after a
    /// takeover.
    pub(super) pace_known: bool,
    /// Since when it has been told to stand still or to work slowly, on the steady clock.
    pub(super) throttled_ms: Option<u64>,
    /// Its last gauge.
    pub(super) gauge: u32,
    /// Since when its tail has been over its bound, on the steady clock.
    pub(super) over_ms: Option<u64>,
    /// Start orders given.
    pub(super) starts: u32,
    /// Copies of the start order that left over the present link and have no result yet.
    pub(super) out: u32,
    /// Whether a copy of the start order had no answer or was lost with its link, so that it may be
    /// carried out at any later time.
    pub(super) unanswered: bool,
}

/// How far the last order for a run is.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum OrderState {
    /// The start waits until the placement is committed.
    Committing,
    /// The start has left and has no result yet.
    Sent { at_ms: u64 },
    /// The start may or may not have been carried out.
    Unknown { since_ms: u64 },
    /// The minion has begun the run; looks from this number of results on must show it.
    Started { number: u64 },
    /// The minion says that the run is over; a look that began later must show its end.
    Over { number: u64 },
    /// A stop has left.
    Stopping { at_ms: u64 },
    /// The minion has taken the stop; looks from this number of results on must not show it.
    Barred { at_ms: u64, number: u64 },
}

impl Run {
    pub(super) fn new(
        place: Place,
        number: u32,
        order: OrderState,
        spec: &StepSpec,
        now_ms: u64,
    ) -> Self {
        Self {
            place,
            number,
            order,
            occupied: occupied(spec),
            fill_cpus: if spec.best_effort { spec.demand.milli_cpus } else { 0 },
            serving_cpus: spec.serves().then_some(spec.demand.milli_cpus),
            started_ms: None,
            percent: 0,
            progressed_ms: now_ms,
            seen_ms: now_ms,
            pace: 100,
            pace_known: true,
            throttled_ms: None,
            gauge: 0,
            over_ms: None,
            starts: 0,
            out: 0,
            unanswered: false,
        }
    }

    /// Takes note that a copy of the start order has left.
    pub(super) const fn start_left(&mut self, now_ms: u64) {
        self.starts += 1;
        self.out += 1;
        self.order = OrderState::Sent { at_ms: now_ms };
    }

    /// Takes note of the result of one copy of the start order, whichever it was.
    ///
    /// A result that was meant for a copy of an earlier link counts for one of the present link, which
    /// does no harm: [`Run::link_lost`] has then marked the run as unanswered for ever.
    pub(super) const fn result_came(&mut self) {
        self.out = self.out.saturating_sub(1);
    }

    /// Takes note that the link to the run's agent is lost: copies may be anywhere between here and the
    /// minion.
    ///
    /// A run that was said to be over is asked about again: the next link may be that of another process,
    /// which counts its results anew, and none of its lists would ever seem newer than that word.
    pub(super) const fn link_lost(&mut self, now_ms: u64) {
        self.unanswered |= self.out > 0;
        self.out = 0;
        if matches!(self.order, OrderState::Sent { .. } | OrderState::Over { .. }) {
            self.order = OrderState::Unknown { since_ms: now_ms };
        }
    }

    /// Returns whether the run may begin although no copy of its start is known to be carried out.
    pub(super) const fn may_still_begin(&self) -> bool {
        self.unanswered || self.out > 0
    }

    /// Returns whether the minion has begun the run, or says that it is over. What becomes of other copies
    /// of the start changes nothing of that: it begins a run at most once.
    pub(super) const fn has_begun(&self) -> bool {
        matches!(self.order, OrderState::Started { .. } | OrderState::Over { .. })
    }

    /// Returns whether the run is being stopped.
    pub(super) const fn stopping(&self) -> bool {
        matches!(self.order, OrderState::Stopping { .. } | OrderState::Barred { .. })
    }
}

/// Returns what a task of a step occupies on a minion: one that takes only what others leave over
/// is given memory and accelerators, but no processors.
pub(super) fn occupied(spec: &StepSpec) -> Demand {
    let milli_cpus = if spec.best_effort { 0 } else { spec.demand.milli_cpus };
    Demand { milli_cpus, ..spec.demand }
}
