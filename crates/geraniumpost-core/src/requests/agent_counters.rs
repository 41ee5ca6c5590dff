use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU32, AtomicU64, Ordering::Relaxed};

use geraniumpost_schema::Load;

use super::InFlightGuard;
use crate::Millis;

/// Value of `probe_at` while the agent is not ejected.
const NOT_EJECTED: u64 = 0;
/// Time for which one probe excludes further probes. Another request may probe afterwards, so that
/// an agent does not remain ejected forever if the caller of a probe disconnects.
const PROBE_TIMEOUT_MS: u64 = 5_000;
/// Time by which a probe must be overdue before a request that cannot be retried may serve as the
/// probe.
const PROBE_FALLBACK_DELAY_MS: u64 = 2_000;

/// Counters of one incarnation of an agent, shared by all snapshots that contain it.
///
/// A snapshot is replaced when the set of agents changes. Counters that change with every request
/// are atomics here, so that counting a request neither takes a lock nor publishes a snapshot, and
/// a decision based on an old snapshot still counts the requests that this entry has sent since.
#[derive(Debug, Default)]
pub struct AgentCounters {
    in_flight: AtomicU32,
    reported_in_flight: AtomicU32,
    queued: AtomicU32,
    others_in_flight: AtomicU32,
    service_us: AtomicU64,
    p99_us: AtomicU64,
    failures_permille: AtomicU32,
    reported_at: AtomicU64,
    probe_at: AtomicU64,
    successes: AtomicU32,
    has_failures: AtomicBool,
}

impl AgentCounters {
    /// Counts a request as in flight at the agent until the returned guard is dropped.
    ///
    /// A guard is used rather than a pair of calls because the future of the request is dropped at
    /// any point when the caller disconnects. A count that is never decremented would keep requests
    /// away from the agent permanently.
    #[must_use]
    pub fn begin_request(self: &Arc<Self>) -> InFlightGuard {
        self.in_flight.fetch_add(1, Relaxed);
        InFlightGuard::new(Arc::clone(self))
    }

    pub(super) fn end_request(&self) {
        self.in_flight.fetch_sub(1, Relaxed);
    }

    /// Number of requests that this entry has sent to the agent and that have not ended.
    pub fn in_flight(&self) -> u32 {
        self.in_flight.load(Relaxed)
    }

    /// Records a load that the agent reported in a heartbeat, a pong or an answer.
    pub fn record_load(&self, load: &Load, now: Millis) {
        let total = load.in_flight.saturating_add(load.queued);
        self.reported_in_flight.store(load.in_flight, Relaxed);
        self.queued.store(load.queued, Relaxed);
        self.others_in_flight.store(total.saturating_sub(self.in_flight()), Relaxed);
        self.service_us.store(load.service_us, Relaxed);
        self.p99_us.store(load.p99_us, Relaxed);
        self.failures_permille.store(load.failures_permille, Relaxed);
        self.reported_at.store(now.0, Relaxed);
    }

    /// Returns the load in the last report of the agent, all zero before the first report.
    pub fn load(&self) -> Load {
        Load {
            in_flight: self.reported_in_flight.load(Relaxed),
            queued: self.queued.load(Relaxed),
            service_us: self.service_us(),
            p99_us: self.p99_us.load(Relaxed),
            failures_permille: self.failures_permille(),
        }
    }

    /// Time since the agent last reported its load, in milliseconds; `now` before the first report.
    pub fn report_age_ms(&self, now: Millis) -> u64 {
        now.since(Millis(self.reported_at.load(Relaxed)))
    }

    /// Number of requests of other entries at the agent, as of its last report.
    ///
    /// This is the reported number of requests, less the number that this entry had in flight when
    /// the report arrived. [`Self::in_flight`] counts the requests of this entry.
    pub fn others_in_flight(&self) -> u32 {
        self.others_in_flight.load(Relaxed)
    }

    /// Smoothed service time in microseconds, as last reported; 0 if unknown.
    pub fn service_us(&self) -> u64 {
        self.service_us.load(Relaxed)
    }

    /// Smoothed share of failed runs in thousandths, as last reported.
    pub fn failures_permille(&self) -> u32 {
        self.failures_permille.load(Relaxed)
    }

    /// Records the result of an attempt. Returns whether [`super::Ejector::record`] must be called,
    /// which takes a lock; a success of an agent without failures needs no call.
    #[must_use]
    pub fn record_result(&self, success: bool) -> bool {
        if success {
            self.successes.fetch_add(1, Relaxed);
            return self.has_failures.load(Relaxed);
        }
        self.has_failures.store(true, Relaxed);
        true
    }

    pub(super) fn take_successes(&self) -> u32 {
        self.successes.swap(0, Relaxed)
    }

    pub(super) fn set_has_failures(&self, has_failures: bool) {
        self.has_failures.store(has_failures, Relaxed);
    }

    /// Whether the agent is ejected because too many attempts failed there: the agent gets only
    /// probes, and requests for which no other agent remains.
    pub fn is_ejected(&self) -> bool {
        self.probe_at.load(Relaxed) != NOT_EJECTED
    }

    pub(super) fn eject(&self, probe_at: Millis) {
        self.probe_at.store(probe_at.0.max(1), Relaxed);
    }

    pub(super) fn restore(&self) {
        self.probe_at.store(NOT_EJECTED, Relaxed);
    }

    /// Claims the right to send one probe to an ejected agent, and returns whether the claim
    /// succeeded.
    ///
    /// `retryable` says whether the request can be sent to another agent if it fails. A request
    /// that is not retryable can claim a probe only once the probe is two seconds overdue.
    #[must_use]
    pub fn claim_probe(&self, now: Millis, retryable: bool) -> bool {
        let due = self.probe_at.load(Relaxed);
        let earliest = if retryable { due } else { due.saturating_add(PROBE_FALLBACK_DELAY_MS) };
        if due == NOT_EJECTED || now.0 < earliest {
            return false;
        }
        let next = now.plus(PROBE_TIMEOUT_MS).0;
        self.probe_at.compare_exchange(due, next, Relaxed, Relaxed).is_ok()
    }
}
