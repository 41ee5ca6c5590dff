use crate::{Demand, OrderOutcome, Place, StepSpec};

/// A run that exists, may exist or may still come into existence on a minion.
#[derive(Debug, Clone)]
pub(super) struct Run {
    pub(super) place: Place,
    pub(super) number: u32,
    pub(super) order: OrderState,
    /// Resources that the run reserves on the minion; no processors for a best-effort run.
    pub(super) reserved: Demand,
    /// Processors that the run could use as a best-effort run, in thousandths of a processor; 0 for
    /// other runs.
    pub(super) best_effort_milli_cpus: i64,
    /// Processors reserved to serve users within a latency bound, in thousandths of a processor;
    /// `None` for a run that serves no users.
    pub(super) serving_milli_cpus: Option<i64>,
    /// Time at which the run was first known to have started, on the monotonic clock.
    pub(super) started_ms: Option<u64>,
    /// Last reported progress; [`Self::last_progress_ms`] is the time of its last change on the
    /// monotonic clock.
    pub(super) progress_percent: u8,
    pub(super) last_progress_ms: u64,
    /// Time at which a poll last listed the run, on the monotonic clock.
    pub(super) last_seen_ms: u64,
    /// Pace of the last pace order, in percent of full speed.
    pub(super) pace_percent: u8,
    /// Whether the minion has confirmed [`Self::pace_percent`]. False if the order failed or had no
    /// response, and after a takeover.
    pub(super) pace_confirmed: bool,
    /// Start of the current suspension or throttling, on the monotonic clock.
    pub(super) throttled_since_ms: Option<u64>,
    /// Last reported tail latency in milliseconds of a serving task, or processor use of any other
    /// task in thousandths of a processor.
    pub(super) measurement: u32,
    /// Start of the current excess of the tail latency over its bound, on the monotonic clock.
    pub(super) over_latency_bound_since_ms: Option<u64>,
    /// Number of copies of the start order that this coordinator has sent, over all links.
    pub(super) start_count: u32,
    /// Number of copies of the start order that were sent over the current link and have no result
    /// yet.
    pub(super) starts_in_flight: u32,
    /// Whether a copy of the start order had no response or was lost with its link, and may be
    /// carried out at any later time.
    pub(super) start_unresolved: bool,
}

/// State of the last order for a run.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum OrderState {
    /// The start waits until the placement is committed.
    Committing,
    /// The start was sent and has no result yet.
    Sent { at_ms: u64 },
    /// The start may or may not have been carried out.
    Unknown { since_ms: u64 },
    /// The minion has started the run. A poll that began after the agent had reported
    /// `results_reported` order results lists the run or its end.
    Started { results_reported: u64 },
    /// The minion reports that the run has ended. A poll that began after the agent had reported
    /// `results_reported` order results lists this end.
    Ended { results_reported: u64 },
    /// A stop was sent, and the minion has not accepted it yet.
    Stopping { at_ms: u64 },
    /// The minion has accepted the stop. A poll that began after the agent had reported
    /// `results_reported` order results does not list the run as running.
    StopConfirmed { at_ms: u64, results_reported: u64 },
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
            reserved: reserved_resources(spec),
            best_effort_milli_cpus: if spec.best_effort { spec.demand.milli_cpus } else { 0 },
            serving_milli_cpus: spec.is_serving().then_some(spec.demand.milli_cpus),
            started_ms: None,
            progress_percent: 0,
            last_progress_ms: now_ms,
            last_seen_ms: now_ms,
            pace_percent: 100,
            pace_confirmed: true,
            throttled_since_ms: None,
            measurement: 0,
            over_latency_bound_since_ms: None,
            start_count: 0,
            starts_in_flight: 0,
            start_unresolved: false,
        }
    }

    /// Counts a copy of the start order as sent over the current link.
    pub(super) const fn record_start_sent(&mut self, now_ms: u64) {
        self.start_count += 1;
        self.starts_in_flight += 1;
        self.order = OrderState::Sent { at_ms: now_ms };
    }

    /// Counts one copy of the start order as no longer in flight. A copy without a response may
    /// still be carried out, whatever state the run is in.
    ///
    /// A result of a copy that was sent over an earlier link is counted for the current link. That
    /// does no harm, because [`Run::record_link_loss`] has already marked the run as unresolved.
    pub(super) fn record_start_result(&mut self, outcome: OrderOutcome) {
        self.starts_in_flight = self.starts_in_flight.saturating_sub(1);
        self.start_unresolved |= outcome == OrderOutcome::NoResponse;
    }

    /// Records the loss of the link to the run's agent. Copies of the start order may still be on
    /// their way to the minion.
    ///
    /// A run that was reported as ended becomes unknown again: the next link may come from another
    /// agent process, which counts order results from 0, and none of its polls would appear newer
    /// than that report.
    pub(super) const fn record_link_loss(&mut self, now_ms: u64) {
        self.start_unresolved |= self.starts_in_flight > 0;
        self.starts_in_flight = 0;
        if matches!(self.order, OrderState::Sent { .. } | OrderState::Ended { .. }) {
            self.order = OrderState::Unknown { since_ms: now_ms };
        }
    }

    /// Returns whether the run may start although no copy of its start order is known to have been
    /// carried out.
    pub(super) const fn may_still_start(&self) -> bool {
        self.start_unresolved || self.starts_in_flight > 0
    }

    /// Returns whether the minion has started the run or reports that the run has ended. Results of
    /// other copies of the start order do not change this state, because a minion starts a run at
    /// most once.
    pub(super) const fn has_started(&self) -> bool {
        matches!(self.order, OrderState::Started { .. } | OrderState::Ended { .. })
    }

    pub(super) const fn is_stopping(&self) -> bool {
        matches!(self.order, OrderState::Stopping { .. } | OrderState::StopConfirmed { .. })
    }
}

/// Returns the resources that a task of a step reserves on a minion. A best-effort task reserves
/// memory and accelerators, but no processors.
pub(super) fn reserved_resources(spec: &StepSpec) -> Demand {
    let milli_cpus = if spec.best_effort { 0 } else { spec.demand.milli_cpus };
    Demand { milli_cpus, ..spec.demand }
}
