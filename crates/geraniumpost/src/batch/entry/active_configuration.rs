use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use arc_swap::ArcSwapOption;
use geraniumpost_platform::{Routes, decode_routes};

use super::super::BootClock;
use super::NewerVersions;
use crate::metrics::Metrics;

/// Stands for no version that is newer than the one in force.
const NEVER: u64 = u64::MAX;

/// The configuration in force, and what is known of newer ones.
#[derive(Debug)]
pub struct ActiveConfiguration {
    routes: ArcSwapOption<Routes>,
    /// When the call was sent that last showed the newest version, on the boot clock.
    confirmed_ms: AtomicU64,
    newer: Mutex<NewerVersions>,
    /// Since when another process is known to have a newer version, on the boot clock, or [`NOT_BEHIND`].
    behind_since_ms: AtomicU64,
    /// Since when the store is known to have a change that was not read yet, likewise.
    unread_since_ms: AtomicU64,
    metrics: Arc<Metrics>,
}

impl ActiveConfiguration {
    /// Returns that of an entry which has read none yet.
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

    /// Returns the configuration in force; none before the first was read.
    pub fn routes(&self) -> Option<Arc<Routes>> {
        self.routes.load_full()
    }

    /// Returns its version; 0 if there is none.
    pub fn version(&self) -> u64 {
        self.routes.load().as_ref().map_or(0, |routes| routes.version)
    }

    /// Returns how long ago the version in force was known to be the newest, in milliseconds.
    pub fn age_ms(&self) -> u64 {
        BootClock.now_ms().saturating_sub(self.confirmed_ms.load(Ordering::Relaxed))
    }

    /// Returns the newest version that this process or one that it hears of has.
    pub fn newest(&self) -> u64 {
        self.newer.lock().unwrap_or_else(PoisonError::into_inner).newest()
    }

    /// Returns for how long a newer version than the one in force has been known, in milliseconds.
    pub fn behind_ms(&self) -> u64 {
        let behind_since_ms = self.behind_since_ms.load(Ordering::Relaxed);
        let since_ms = behind_since_ms.min(self.unread_since_ms.load(Ordering::Relaxed));
        BootClock.now_ms().saturating_sub(since_ms)
    }

    /// Notes that the store has a change that still has to be read.
    pub fn mark_unread(&self) {
        self.unread_since_ms.fetch_min(BootClock.now_ms(), Ordering::Relaxed);
    }

    /// Notes that another process has a version.
    pub fn observe(&self, version: u64) {
        let newest = self.newest();
        if version <= newest {
            return;
        }
        self.update_newer(|newer| newer.observed(version, BootClock.now_ms()));
        spdlog::info!(
            "event=configuration_heard version={version} in_force={} age_ms={}",
            self.version(),
            self.age_ms()
        );
    }

    fn update_newer(&self, change: impl FnOnce(&mut NewerVersions)) {
        let mut newer = self.newer.lock().unwrap_or_else(PoisonError::into_inner);
        change(&mut newer);
        let since_ms = newer.behind_since_ms().unwrap_or(NEVER);
        self.behind_since_ms.store(since_ms, Ordering::Relaxed);
    }

    /// Notes that the store had nothing newer than what is in force when it was asked.
    pub fn record_confirmed(&self, requested_ms: u64) {
        self.confirmed_ms.fetch_max(requested_ms, Ordering::Relaxed);
        self.unread_since_ms.store(NEVER, Ordering::Relaxed);
        self.metrics.config_age(Duration::from_millis(self.age_ms()));
    }

    /// Notes that a reading failed, for the `attempt`th time in a row.
    pub fn record_failure(&self, attempt: u32, requested_ms: u64, why: &str) {
        let age_ms = self.age_ms();
        self.metrics.config_read("failed", 0);
        self.metrics.config_age(Duration::from_millis(age_ms));
        // An outage of minutes takes a dozen lines.
        if attempt.is_power_of_two() {
            let took_ms = BootClock.now_ms().saturating_sub(requested_ms);
            spdlog::warn!(
                "event=configuration_unread attempt={attempt} version={} age_ms={age_ms} \
                 took_ms={took_ms} why=\"{why}\"",
                self.version()
            );
        }
    }

    /// Puts a configuration in force if it is newer than the one that is.
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
            "event=configuration version={} before={previous_version} queues={} bytes={bytes} \
             took_ms={} age_ms={}",
            routes.version,
            routes.len(),
            BootClock.now_ms().saturating_sub(requested_ms),
            self.age_ms()
        );
        let version = routes.version;
        self.routes.store(Some(Arc::new(routes)));
        self.update_newer(|newer| newer.adopted(version));
    }
}
