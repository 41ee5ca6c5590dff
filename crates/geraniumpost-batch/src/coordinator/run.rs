use crate::{Demand, Place, StepSpec};

/// A run that exists, may exist or may still come to exist at a minion.
#[derive(Debug, Clone)]
pub(super) struct Run {
    pub(super) place: Place,
    pub(super) number: u32,
    pub(super) order: OrderState,
    /// What it occupies at the minion.
    pub(super) reserved: Demand,
    /// Left-over processors that it would use if it could, in thousandths.
    pub(super) best_effort_cpus: i64,
    /// Processors that it reserves to serve users within a latency bound, in thousandths; `None`
    /// for a run that serves nobody.
    pub(super) serving_cpus: Option<i64>,
    /// When it was first seen at work.
    pub(super) started_ms: Option<u64>,
    /// Its progress, and when that last changed.
    pub(super) progress_percent: u8,
    pub(super) last_progress_ms: u64,
    /// When a look last showed it.
    pub(super) last_seen_ms: u64,
    /// Share it is told to work at.
    pub(super) pace_percent: u8,
    /// Whether the minion is known to have been told so: not if an order had no answer, nor after a
    /// takeover.
    pub(super) pace_confirmed: bool,
    /// Since when it has been told to stand still or to work slowly, on the steady clock.
    pub(super) throttled_since_ms: Option<u64>,
    /// Its last gauge.
    pub(super) gauge: u32,
    /// Since when its tail has been over its bound, on the steady clock.
    pub(super) over_bound_since_ms: Option<u64>,
    /// Start orders given.
    pub(super) start_count: u32,
    /// Copies of the start order that left over the present link and have no result yet.
    pub(super) starts_in_flight: u32,
    /// Whether a copy of the start order had no answer or was lost with its link, so that it may be
    /// carried out at any later time.
    pub(super) start_unresolved: bool,
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
    Ended { number: u64 },
    /// A stop has left.
    Stopping { at_ms: u64 },
    /// The minion has taken the stop; looks from this number of results on must not show it.
    StopConfirmed { at_ms: u64, number: u64 },
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
            reserved: reserved(spec),
            best_effort_cpus: if spec.best_effort { spec.demand.milli_cpus } else { 0 },
            serving_cpus: spec.serves().then_some(spec.demand.milli_cpus),
            started_ms: None,
            progress_percent: 0,
            last_progress_ms: now_ms,
            last_seen_ms: now_ms,
            pace_percent: 100,
            pace_confirmed: true,
            throttled_since_ms: None,
            gauge: 0,
            over_bound_since_ms: None,
            start_count: 0,
            starts_in_flight: 0,
            start_unresolved: false,
        }
    }

    /// Takes note that a copy of the start order has left.
    pub(super) const fn record_start_sent(&mut self, now_ms: u64) {
        self.start_count += 1;
        self.starts_in_flight += 1;
        self.order = OrderState::Sent { at_ms: now_ms };
    }

    /// Takes note of the result of one copy of the start order, whichever it was.
    ///
    /// A result that was meant for a copy of an earlier link counts for one of the present link, which
    /// does no harm: [`Run::link_lost`] has then marked the run as unanswered for ever.
    pub(super) const fn record_start_result(&mut self) {
        self.starts_in_flight = self.starts_in_flight.saturating_sub(1);
    }

    /// Takes note that the link to the run's agent is lost: copies may be anywhere between here and the
    /// minion.
    ///
    /// A run that was said to be over is asked about again: the next link may be that of another process,
    /// which counts its results anew, and none of its lists would ever seem newer than that word.
    pub(super) const fn record_link_loss(&mut self, now_ms: u64) {
        self.start_unresolved |= self.starts_in_flight > 0;
        self.starts_in_flight = 0;
        if matches!(self.order, OrderState::Sent { .. } | OrderState::Ended { .. }) {
            self.order = OrderState::Unknown { since_ms: now_ms };
        }
    }

    /// Returns whether the run may begin although no copy of its start is known to be carried out.
    pub(super) const fn may_still_start(&self) -> bool {
        self.start_unresolved || self.starts_in_flight > 0
    }

    /// Returns whether the minion has begun the run, or says that it is over. What becomes of other copies
    /// of the start changes nothing of that: it begins a run at most once.
    pub(super) const fn has_started(&self) -> bool {
        matches!(self.order, OrderState::Started { .. } | OrderState::Ended { .. })
    }

    /// Returns whether the run is being stopped.
    pub(super) const fn is_stopping(&self) -> bool {
        matches!(self.order, OrderState::Stopping { .. } | OrderState::StopConfirmed { .. })
    }
}

/// Returns what a task of a step occupies on a minion: one that takes only what others leave over
/// is given memory and accelerators, but no processors.
pub(super) fn reserved(spec: &StepSpec) -> Demand {
    let milli_cpus = if spec.best_effort { 0 } else { spec.demand.milli_cpus };
    Demand { milli_cpus, ..spec.demand }
}
