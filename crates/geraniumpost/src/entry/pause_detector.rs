use geraniumpost_core::Millis;

/// Minimum time between two ticks that is considered a process pause, in milliseconds.
const MIN_PAUSE_MS: u64 = 500;

/// Detects pauses of this process, for example because its VM was paused.
///
/// After a pause, heartbeats received during it are still unread in the socket, and the timeouts of
/// all agents have elapsed. If agents were timed out immediately, all would be considered lost, and
/// callers would be refused until the next heartbeats are received.
#[derive(Debug)]
pub(super) struct PauseDetector {
    last_tick: Millis,
    timeouts_valid_from: Millis,
}

impl PauseDetector {
    /// Creates a detector that has detected no pause.
    pub(super) const fn new(now: Millis) -> Self {
        Self { last_tick: now, timeouts_valid_from: now }
    }

    /// Handles a tick, and returns whether agents without heartbeats may be timed out now.
    pub(super) fn tick(&mut self, now: Millis, heartbeat_ms: u64) -> bool {
        let since_tick = now.since(std::mem::replace(&mut self.last_tick, now));
        if since_tick > MIN_PAUSE_MS {
            spdlog::warn!(
                "the process was paused for {since_tick} ms; waiting for heartbeats before agents time out"
            );
            self.timeouts_valid_from = now.plus(2 * heartbeat_ms);
        }
        now >= self.timeouts_valid_from
    }
}
