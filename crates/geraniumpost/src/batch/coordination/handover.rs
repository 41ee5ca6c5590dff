//! When a coordinator that is asked to stop hands over.

use std::sync::Arc;
use std::time::Duration;

use tokio::sync::watch;
use tokio::time::{Instant, sleep, sleep_until};

use super::peers::Peers;
use super::stop_time::StopTime;
use super::term_support::TermSupport;

/// Part of the time for which a stopping process serves callers that passes before a handover, in
/// percent. The rest suffices for the takeover, after which the process can end.
const EARLIEST_HANDOVER_PERCENT: u32 = 70;
/// Time that an entry without the stop signal has to take over before one that is stopping does.
const TAKEOVER_PATIENCE: Duration = Duration::from_millis(300);
/// Additional delay of a stopping entry, in percent of the time since its stop signal: an entry that
/// stops later can coordinate for longer.
const STOPPING_DELAY_PERCENT: u32 = 10;
/// Time before the end of serving at which a stopping entry no longer takes over.
const TAKEOVER_MARGIN: Duration = Duration::from_millis(200);
/// Minimum duration of a term that begins while the process is stopping.
const MIN_STOPPING_TERM: Duration = Duration::from_millis(800);
/// Interval at which a stopping coordinator looks for an entry that can take over.
const CANDIDATE_CHECK_INTERVAL: Duration = Duration::from_millis(50);

/// Times within which a stopping coordinator hands over, counted from the stop signal; by default
/// at once.
#[derive(Debug, Clone, Copy, Default)]
pub struct HandoverTimes {
    earliest: Duration,
    latest: Duration,
    /// Like `latest`, for an entry that knows of no other entry.
    latest_alone: Duration,
    /// Latest time at which a stopping entry takes over.
    latest_takeover: Duration,
}

impl HandoverTimes {
    /// Returns times for a process that serves callers for `serving` after the stop signal, and must
    /// end its term no later than `limit` after the signal.
    ///
    /// Entries are often restarted one after the other. A coordinator that steps down at once is
    /// mostly followed by an entry that is about to be stopped as well; after a delay, the first
    /// entries have already restarted. Without other entries nobody can take over, and a longer term
    /// would only delay the restart.
    pub fn new(serving: Duration, limit: Duration) -> Self {
        Self {
            earliest: serving * EARLIEST_HANDOVER_PERCENT / 100,
            latest: limit,
            latest_alone: limit.min(serving),
            latest_takeover: serving.min(limit).saturating_sub(TAKEOVER_MARGIN),
        }
    }

    /// Returns how long a stopping entry waits before it takes over from a coordinator that stepped
    /// down, or `None` if it has too little time left.
    ///
    /// The entry to which a stopping coordinator hands over may be asked to stop before it has taken
    /// over. If all others are stopping as well, one of them coordinates until the first is back.
    pub fn takeover_delay(&self, stop_time: &StopTime) -> Option<Duration> {
        let stopping_for = stop_time.get().elapsed();
        let delay = TAKEOVER_PATIENCE + stopping_for * STOPPING_DELAY_PERCENT / 100;
        (stopping_for + delay <= self.latest_takeover).then_some(delay)
    }
}

/// Turns `due` true once a coordinator that was asked to stop has to end its term: when another
/// entry that is not stopping can take over, or when no time is left to wait for one.
///
/// Returns early when all receivers of `due` are dropped, because the term has ended.
pub async fn signal_handover(
    mut stop: watch::Receiver<bool>,
    stop_time: StopTime,
    times: HandoverTimes,
    support: Arc<TermSupport>,
    peers: Arc<Peers>,
    due: watch::Sender<bool>,
) {
    let term_began = Instant::now();
    tokio::select! {
        () = crate::stop_signal::stopped(&mut stop) => {}
        () = due.closed() => return,
    }
    let stopped_at = stop_time.get();
    let is_alone = peers.other_entries().is_empty();
    let latest = stopped_at + if is_alone { times.latest_alone } else { times.latest };
    let await_candidate = async {
        sleep_until((stopped_at + times.earliest).max(term_began + MIN_STOPPING_TERM)).await;
        while !support.has_candidate() {
            sleep(CANDIDATE_CHECK_INTERVAL).await;
        }
    };
    let has_candidate = tokio::select! {
        () = await_candidate => true,
        () = sleep_until(latest) => false,
        () = due.closed() => return,
    };
    let held_ms = stopped_at.elapsed().as_millis();
    spdlog::info!("event=handover candidate={has_candidate} held_ms={held_ms}");
    due.send_replace(true);
}
