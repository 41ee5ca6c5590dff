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
    /// Since when it has been told to stand still or to work slowly, on the steady clock.
    pub(super) held_up_ms: Option<u64>,
    /// Its last gauge.
    pub(super) gauge: u32,
    /// Since when its tail has been over its bound, on the steady clock.
    pub(super) over_ms: Option<u64>,
    /// Start orders given.
    pub(super) starts: u32,
    /// Whether a start order had no answer, so that a copy of it may be carried out later.
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
            fill_cpus: if spec.fills { spec.demand.milli_cpus } else { 0 },
            serving_cpus: spec.serves().then_some(spec.demand.milli_cpus),
            started_ms: None,
            percent: 0,
            progressed_ms: now_ms,
            seen_ms: now_ms,
            pace: 100,
            held_up_ms: None,
            gauge: 0,
            over_ms: None,
            starts: 0,
            unanswered: false,
        }
    }

    /// Returns whether the run is being stopped.
    pub(super) const fn stopping(&self) -> bool {
        matches!(self.order, OrderState::Stopping { .. } | OrderState::Barred { .. })
    }
}

/// Returns what a task of a step occupies on a minion: one that takes only what others leave over
/// is given memory and accelerators, but no processors.
pub(super) fn occupied(spec: &StepSpec) -> Demand {
    let milli_cpus = if spec.fills { 0 } else { spec.demand.milli_cpus };
    Demand { milli_cpus, ..spec.demand }
}
