use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU32, AtomicU64, Ordering::Relaxed};

use geraniumpost_schema::Load;

use super::InFlightGuard;
use crate::Millis;

/// Value of `probe_at` of an agent that is not ejected.
const NOT_EJECTED: u64 = 0;
/// How long one probe keeps others from being sent. The claim lapses by itself, so that a probe
/// whose caller leaves does not keep the agent ejected for good.
const PROBE_PATIENCE_MS: u64 = 5_000;
/// How much longer an agent waits for a probe by a request that may fail without harm.
const PROBE_ANY_AFTER_MS: u64 = 2_000;

/// Fast-changing figures of one incarnation of an agent, shared by all snapshots that show it.
///
/// A snapshot is replaced when the set of agents changes. Counters that change with every request
/// live here as atomics, so that a request neither takes a lock nor publishes a snapshot, and a
/// decision made on an old snapshot still sees the requests that this entry has sent since.
#[derive(Debug, Default)]
pub struct AgentGauge {
    in_flight: AtomicU32,
    reported: AtomicU32,
    queued: AtomicU32,
    others: AtomicU32,
    service_us: AtomicU64,
    p99_us: AtomicU64,
    failures_permille: AtomicU32,
    reported_at: AtomicU64,
    probe_at: AtomicU64,
    successes: AtomicU32,
    troubled: AtomicBool,
}

impl AgentGauge {
    /// Counts a request sent to the agent until the returned guard is dropped.
    ///
    /// A guard rather than a pair of calls, because a caller who leaves drops the request's future
    /// at any point; a count that is never taken back would keep work from the agent for good.
    #[must_use]
    pub fn begin_request(self: &Arc<Self>) -> InFlightGuard {
        self.in_flight.fetch_add(1, Relaxed);
        InFlightGuard::new(Arc::clone(self))
    }

    pub(super) fn end(&self) {
        self.in_flight.fetch_sub(1, Relaxed);
    }

    /// Requests that this entry has sent and not yet seen end.
    pub fn in_flight(&self) -> u32 {
        self.in_flight.load(Relaxed)
    }

    /// Takes in a load that the agent reported in a heartbeat, a pong or an answer.
    pub fn record_load(&self, load: &Load, now: Millis) {
        let total = load.in_flight.saturating_add(load.queued);
        self.reported.store(load.in_flight, Relaxed);
        self.queued.store(load.queued, Relaxed);
        self.others.store(total.saturating_sub(self.in_flight()), Relaxed);
        self.service_us.store(load.service_us, Relaxed);
        self.p99_us.store(load.p99_us, Relaxed);
        self.failures_permille.store(load.failures_permille, Relaxed);
        self.reported_at.store(now.0, Relaxed);
    }

    /// Returns the load last reported.
    pub fn load(&self) -> Load {
        Load {
            in_flight: self.reported.load(Relaxed),
            queued: self.queued.load(Relaxed),
            service_us: self.service_us(),
            p99_us: self.p99_us.load(Relaxed),
            failures_permille: self.failures_permille(),
        }
    }

    /// Milliseconds since the last report.
    pub fn report_age(&self, now: Millis) -> u64 {
        now.since(Millis(self.reported_at.load(Relaxed)))
    }

    /// Requests of other entries at the agent when it reported last.
    ///
    /// What the report counted beyond this entry's own requests belongs to other entries; this
    /// entry's own are counted as they are now.
    pub fn others_in_flight(&self) -> u32 {
        self.others.load(Relaxed)
    }

    /// Smoothed service time in microseconds, 0 if unknown.
    pub fn service_us(&self) -> u64 {
        self.service_us.load(Relaxed)
    }

    /// Smoothed share of failed answers in thousandths.
    pub fn failures_permille(&self) -> u32 {
        self.failures_permille.load(Relaxed)
    }

    /// Counts an attempt that succeeded or failed; returns whether the [`super::Ejector`] must be
    /// told. An agent without failures needs no lock at all on its requests' path.
    #[must_use]
    pub fn record_result(&self, success: bool) -> bool {
        if success {
            self.successes.fetch_add(1, Relaxed);
            return self.troubled.load(Relaxed);
        }
        self.troubled.store(true, Relaxed);
        true
    }

    pub(super) fn take_successes(&self) -> u32 {
        self.successes.swap(0, Relaxed)
    }

    pub(super) fn set_troubled(&self, troubled: bool) {
        self.troubled.store(troubled, Relaxed);
    }

    /// Whether the agent is kept from ordinary work because it failed too much.
    pub fn is_ejected(&self) -> bool {
        self.probe_at.load(Relaxed) != NOT_EJECTED
    }

    pub(super) fn eject(&self, probe_at: Millis) {
        self.probe_at.store(probe_at.0.max(1), Relaxed);
    }

    pub(super) fn restore(&self) {
        self.probe_at.store(NOT_EJECTED, Relaxed);
    }

    /// Takes the right to send one probe to an ejected agent, if one is due.
    ///
    /// `harmless` says that the request may fail without harm because it is sent again elsewhere.
    /// Other requests probe only when no harmless one came along for a while.
    #[must_use]
    pub fn claim_probe(&self, now: Millis, harmless: bool) -> bool {
        let due = self.probe_at.load(Relaxed);
        let from = if harmless { due } else { due.saturating_add(PROBE_ANY_AFTER_MS) };
        if due == NOT_EJECTED || now.0 < from {
            return false;
        }
        let next = now.plus(PROBE_PATIENCE_MS).0;
        self.probe_at.compare_exchange(due, next, Relaxed, Relaxed).is_ok()
    }
}
