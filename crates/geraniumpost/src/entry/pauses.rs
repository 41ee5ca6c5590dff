use geraniumpost_core::Millis;

/// Time between two ticks in milliseconds over which the process must have been paused.
const LONGEST_TICK_MS: u64 = 500;

/// Notices that this process was paused, as with its VM.
///
/// After a pause the heartbeats lie unread in the socket, and by the clock every agent has been
/// silent for too long. Judged at once, all would be dead, and callers would be told that there is
/// no agent until the next heartbeats have come.
#[derive(Debug)]
pub(super) struct Pauses {
    looked_at: Millis,
    judge_from: Millis,
}

impl Pauses {
    /// Begins to watch.
    pub(super) const fn new(now: Millis) -> Self {
        Self { looked_at: now, judge_from: now }
    }

    /// Returns whether silence means anything now.
    pub(super) fn may_judge(&mut self, now: Millis, heartbeat_ms: u64) -> bool {
        let since_look = now.since(std::mem::replace(&mut self.looked_at, now));
        if since_look > LONGEST_TICK_MS {
            spdlog::warn!("paused for {since_look} ms; agents are not judged by their silence yet");
            self.judge_from = now.plus(2 * heartbeat_ms);
        }
        now >= self.judge_from
    }
}
