use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use arc_swap::ArcSwapOption;
use geraniumpost_platform::{Routes, decode_routes};

use super::super::BootClock;
use super::NewerVersions;
use crate::metrics::Metrics;

/// Value of `behind_since_ms` and `unread_since_ms` while no newer version is known.
const NEVER: u64 = u64::MAX;

/// The active configuration, and which newer versions are known.
#[derive(Debug)]
pub struct ActiveConfiguration {
    routes: ArcSwapOption<Routes>,
    /// Time at which the last successful read or watch of the configuration was sent, on the
    /// monotonic clock.
    confirmed_ms: AtomicU64,
    newer: Mutex<NewerVersions>,
    /// Time at which another process first reported a version newer than the active one, on the
    /// monotonic clock, or [`NEVER`].
    behind_since_ms: AtomicU64,
    /// Time at which the store first announced a change that this process has not read, on the
    /// monotonic clock, or [`NEVER`].
    unread_since_ms: AtomicU64,
    metrics: Arc<Metrics>,
}

impl ActiveConfiguration {
    /// Returns the state of an entry that has not read a configuration yet.
    pub fn new(metrics: Arc<Metrics>) -> Self {
        let confirmed_ms = AtomicU64::new(BootClock.now_ms());
        Self {
            routes: ArcSwapOption::empty(),
            confirmed_ms,
            newer: Mutex::default(),
            behind_since_ms: AtomicU64::new(NEVER),
            unread_since_ms: AtomicU64::new(NEVER),
            metrics,
        }
    }

    /// Returns the active configuration; `None` until the first one is read.
    pub fn routes(&self) -> Option<Arc<Routes>> {
        self.routes.load_full()
    }

    /// Returns the version of the active configuration; 0 if there is none.
    pub fn version(&self) -> u64 {
        self.routes.load().as_ref().map_or(0, |routes| routes.version)
    }

    /// Returns the time since the active version was last confirmed as the newest, in milliseconds.
    pub fn age_ms(&self) -> u64 {
        BootClock.now_ms().saturating_sub(self.confirmed_ms.load(Ordering::Relaxed))
    }

    /// Returns the newest version that this process or, as far as known, another process has.
    pub fn newest_version(&self) -> u64 {
        self.newer.lock().unwrap_or_else(PoisonError::into_inner).newest_version()
    }

    /// Returns for how long a version newer than the active one has been known, in milliseconds; 0
    /// if no newer version is known.
    pub fn behind_ms(&self) -> u64 {
        let behind_since_ms = self.behind_since_ms.load(Ordering::Relaxed);
        let since_ms = behind_since_ms.min(self.unread_since_ms.load(Ordering::Relaxed));
        BootClock.now_ms().saturating_sub(since_ms)
    }

    /// Records that the store has announced a change that this process has not read.
    pub fn mark_unread(&self) {
        self.unread_since_ms.fetch_min(BootClock.now_ms(), Ordering::Relaxed);
    }

    /// Records a version that another process has, as reported in its ping or pong.
    pub fn observe(&self, version: u64) {
        let newest = self.newest_version();
        if version <= newest {
            return;
        }
        self.update_newer_versions(|newer| newer.observe(version, BootClock.now_ms()));
        spdlog::info!(
            "event=configuration_heard version={version} active={} age_ms={}",
            self.version(),
            self.age_ms()
        );
    }

    fn update_newer_versions(&self, change: impl FnOnce(&mut NewerVersions)) {
        let mut newer = self.newer.lock().unwrap_or_else(PoisonError::into_inner);
        change(&mut newer);
        let since_ms = newer.behind_since_ms().unwrap_or(NEVER);
        self.behind_since_ms.store(since_ms, Ordering::Relaxed);
    }

    /// Records that the active version was the newest in the store at `requested_ms`, when the call
    /// was sent.
    pub fn record_confirmed(&self, requested_ms: u64) {
        self.confirmed_ms.fetch_max(requested_ms, Ordering::Relaxed);
        self.unread_since_ms.store(NEVER, Ordering::Relaxed);
        self.metrics.config_age(Duration::from_millis(self.age_ms()));
    }

    /// Records a failed read or watch, the `attempt`th failure in a row. `requested_ms` is the time
    /// at which the read or watch began, on the monotonic clock.
    pub fn record_failure(&self, attempt: u32, requested_ms: u64, why: &str) {
        let age_ms = self.age_ms();
        self.metrics.config_read("failed", 0);
        self.metrics.config_age(Duration::from_millis(age_ms));
        // Only attempts whose number is a power of two are logged, which gives about a dozen lines
        // for an outage of minutes.
        if attempt.is_power_of_two() {
            let took_ms = BootClock.now_ms().saturating_sub(requested_ms);
            spdlog::warn!(
                "event=configuration_unread attempt={attempt} version={} age_ms={age_ms} \
                 took_ms={took_ms} why=\"{why}\"",
                self.version()
            );
        }
    }

    /// Activates an encoded configuration if it is valid and newer than the active one.
    /// `requested_ms` is the time at which the call that returned it was sent, on the monotonic
    /// clock.
    pub fn adopt(&self, value: &[u8], requested_ms: u64) {
        let bytes = value.len();
        let routes = match decode_routes(value) {
            Ok(routes) => routes,
            Err(error) => {
                self.metrics.config_read("unusable", bytes);
                spdlog::error!("event=configuration_unusable bytes={bytes} why=\"{error:#}\"");
                return;
            }
        };
        let previous_version = self.version();
        if routes.version <= previous_version {
            self.metrics.config_read("known", bytes);
            return;
        }
        self.metrics.config_read("adopted", bytes);
        self.metrics.config_revision(routes.version);
        spdlog::info!(
            "event=configuration_activated version={} previous={previous_version} queues={} \
             bytes={bytes} took_ms={} age_ms={}",
            routes.version,
            routes.len(),
            BootClock.now_ms().saturating_sub(requested_ms),
            self.age_ms()
        );
        let version = routes.version;
        self.routes.store(Some(Arc::new(routes)));
        self.update_newer_versions(|newer| newer.adopt(version));
    }
}
