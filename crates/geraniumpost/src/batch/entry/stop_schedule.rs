use std::time::Duration;

use tokio::sync::watch;
use tokio::time::{Instant, sleep_until};

use super::super::coordination::HandoverTimes;

/// Time for which a stopping entry still relays requests. The balancer checks readiness once a
/// second, and stops sending requests to an entry after two failed checks.
const DRAIN_DURATION: Duration = Duration::from_millis(2_800);
/// Part of the grace period that is reserved for sending the last responses, deregistration and
/// exit.
const EXIT_MARGIN: Duration = Duration::from_millis(1_200);

/// Part of the time until all requests must have a response that a coordinator has to step down: one
/// write to the store, which may be slow.
const STEP_DOWN_MARGIN: Duration = Duration::from_millis(500);

/// The times of a planned stop.
///
/// A caller may be willing to wait for longer than the process may run. If a request waited for as
/// long as its caller, the exit of the process would close the connection without a response.
/// Everything that a request waits for is therefore limited by [`Self::response_due`] as well.
#[derive(Debug)]
pub struct StopSchedule {
    /// Time at which the process was asked to stop; `None` before.
    asked_at: watch::Sender<Option<Instant>>,
    /// Time from the request to stop until all requests must have a response.
    respond_within: Duration,
}

impl StopSchedule {
    /// Creates the schedule of a process that must exit within `grace` of the request to stop.
    pub fn new(grace: Duration) -> Self {
        let asked_at = watch::Sender::new(None);
        Self { asked_at, respond_within: grace.saturating_sub(EXIT_MARGIN) }
    }

    /// Records that the process is asked to stop now.
    pub fn begin(&self) {
        self.asked_at.send_replace(Some(Instant::now()));
    }

    /// Returns whether the process was asked to stop.
    pub fn has_begun(&self) -> bool {
        self.asked_at.borrow().is_some()
    }

    /// Returns whether new requests must be refused.
    pub fn is_drained(&self) -> bool {
        self.asked_at.borrow().is_some_and(|asked_at| asked_at.elapsed() >= self.drain_duration())
    }

    /// Waits until new requests must be refused. Never returns if the process is not asked to stop.
    pub async fn drained(&self) {
        self.wait(self.drain_duration()).await;
    }

    /// Waits until all requests must have a response. Never returns if the process is not asked to
    /// stop.
    pub async fn response_due(&self) {
        self.wait(self.respond_within).await;
    }

    /// Returns when a coordinator hands over after the process was asked to stop.
    pub fn handover_times(&self) -> HandoverTimes {
        let limit = self.respond_within.saturating_sub(STEP_DOWN_MARGIN);
        HandoverTimes::new(self.drain_duration(), limit)
    }

    fn drain_duration(&self) -> Duration {
        DRAIN_DURATION.min(self.respond_within)
    }

    async fn wait(&self, duration: Duration) {
        let mut asked_at = self.asked_at.subscribe();
        loop {
            // The guard of the watch must not be held while this function waits.
            let time = *asked_at.borrow_and_update();
            match time {
                Some(time) => return sleep_until(time + duration).await,
                // The sender belongs to `self`, so that waiting cannot fail.
                None => drop(asked_at.changed().await),
            }
        }
    }
}
