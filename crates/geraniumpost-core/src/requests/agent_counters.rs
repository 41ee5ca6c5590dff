use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU32, AtomicU64, Ordering::Relaxed};

use geraniumpost_schema::Load;

use super::InFlightGuard;
use crate::Millis;

/// Value of `probe_at` while the agent is not ejected.
const NOT_EJECTED: u64 = 0;
/// Time for which one probe excludes further probes. The claim expires, so that a probe whose
/// caller disconnects does not leave the agent ejected forever.
const PROBE_TIMEOUT_MS: u64 = 5_000;
/// Additional delay before a request that cannot be retried may serve as the probe.
const PROBE_FALLBACK_DELAY_MS: u64 = 2_000;

/// Counters of one incarnation of an agent, shared by all snapshots that contain it.
///
/// A snapshot is replaced when the set of agents changes. Counters that change with every request
/// are atomics here, so that a request neither takes a lock nor publishes a snapshot, and a
/// decision based on an old snapshot still counts the requests that this entry has sent since.
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
    /// Counts a request sent to the agent until the returned guard is dropped.
    ///
    /// The count is tied to a guard rather than to a pair of calls because the request's future is
    /// dropped at any point when the caller disconnects. A count that is never decremented would
    /// keep work from the agent permanently.
    #[must_use]
    pub fn begin_request(self: &Arc<Self>) -> InFlightGuard {
        self.in_flight.fetch_add(1, Relaxed);
        InFlightGuard::new(Arc::clone(self))
    }

    pub(super) fn end_request(&self) {
        self.in_flight.fetch_sub(1, Relaxed);
    }

    /// Requests that this entry has sent and that have not ended.
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

    /// Returns the load last reported.
    pub fn load(&self) -> Load {
        Load {
            in_flight: self.reported_in_flight.load(Relaxed),
            queued: self.queued.load(Relaxed),
            service_us: self.service_us(),
            p99_us: self.p99_us.load(Relaxed),
            failures_permille: self.failures_permille(),
        }
    }

    /// Milliseconds since the last report.
    pub fn report_age_ms(&self, now: Millis) -> u64 {
        now.since(Millis(self.reported_at.load(Relaxed)))
    }

    /// Requests of other entries at the agent, as of its last report.
    ///
    /// The number is what the report counted beyond the requests that this entry had in flight when
    /// it arrived. Requests of this entry are counted by [`Self::in_flight`].
    pub fn others_in_flight(&self) -> u32 {
        self.others_in_flight.load(Relaxed)
    }

    /// Smoothed service time in microseconds, 0 if unknown.
    pub fn service_us(&self) -> u64 {
        self.service_us.load(Relaxed)
    }

    /// Smoothed share of failed answers in thousandths.
    pub fn failures_permille(&self) -> u32 {
        self.failures_permille.load(Relaxed)
    }

    /// Counts an attempt that succeeded or failed, and returns whether the [`super::Ejector`] must
    /// record it. Requests to an agent without failures take no lock.
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

    /// Whether the agent gets no ordinary requests because too many attempts failed there.
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
    /// `retryable` says whether the request can be sent to another agent if it fails. Other
    /// requests probe only after no retryable one has done so for two seconds.
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
