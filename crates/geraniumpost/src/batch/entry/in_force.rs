use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

use arc_swap::ArcSwapOption;
use geraniumpost_platform::{Routes, decode_routes};

use super::super::BootClock;
use crate::metrics::Metrics;

/// The configuration in force, and since when nothing newer is known to exist.
#[derive(Debug)]
pub struct InForce {
    routes: ArcSwapOption<Routes>,
    /// When the call was sent that last showed the newest version, on the boot clock.
    confirmed_ms: AtomicU64,
    metrics: Arc<Metrics>,
}

impl InForce {
    /// Returns that of an entry which has read none yet.
    pub fn new(metrics: Arc<Metrics>) -> Self {
        let confirmed_ms = AtomicU64::new(BootClock.now_ms());
        Self { routes: ArcSwapOption::empty(), confirmed_ms, metrics }
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

    /// Notes that the store had nothing newer than what is in force when it was asked.
    pub fn confirm(&self, asked_ms: u64) {
        self.confirmed_ms.fetch_max(asked_ms, Ordering::Relaxed);
        self.metrics.config_age(Duration::from_millis(self.age_ms()));
    }

    /// Notes that a reading failed, for the `attempt`th time in a row.
    pub fn unread(&self, attempt: u32, asked_ms: u64, why: &str) {
        let age_ms = self.age_ms();
        self.metrics.config_read("failed", 0);
        self.metrics.config_age(Duration::from_millis(age_ms));
        // An outage of minutes takes a dozen lines.
        if attempt.is_power_of_two() {
            let took_ms = BootClock.now_ms().saturating_sub(asked_ms);
            spdlog::warn!(
                "event=configuration_unread attempt={attempt} version={} age_ms={age_ms} \
                 took_ms={took_ms} why=\"{why}\"",
                self.version()
            );
        }
    }

    /// Puts a configuration in force if it is newer than the one that is.
    pub fn adopt(&self, value: &[u8], asked_ms: u64) {
        let bytes = value.len();
        let routes = match decode_routes(value) {
            Ok(routes) => routes,
            Err(error) => {
                self.metrics.config_read("unusable", bytes);
                spdlog::error!("event=configuration_unusable bytes={bytes} why=\"{error:#}\"");
                return;
            }
        };
        let before = self.version();
        if routes.version <= before {
            self.metrics.config_read("known", bytes);
            return;
        }
        self.metrics.config_read("adopted", bytes);
        self.metrics.config_revision(routes.version);
        spdlog::info!(
            "event=configuration version={} before={before} queues={} bytes={bytes} \
             took_ms={} age_ms={}",
            routes.version,
            routes.len(),
            BootClock.now_ms().saturating_sub(asked_ms),
            self.age_ms()
        );
        self.routes.store(Some(Arc::new(routes)));
    }
}
