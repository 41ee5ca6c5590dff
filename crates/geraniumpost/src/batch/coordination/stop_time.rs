use std::sync::{Arc, OnceLock};

use tokio::sync::watch;
use tokio::time::Instant;

/// The time at which the process was asked to stop.
#[derive(Debug, Clone, Default)]
pub struct StopTime(Arc<OnceLock<Instant>>);

impl StopTime {
    /// Records the stop signal; call it as soon as the signal is noticed.
    pub async fn record(self, mut stop: watch::Receiver<bool>) {
        crate::stop_signal::stopped(&mut stop).await;
        self.get();
    }

    /// Returns the time of the stop signal, which must have been noticed.
    pub(super) fn get(&self) -> Instant {
        *self.0.get_or_init(Instant::now)
    }
}
