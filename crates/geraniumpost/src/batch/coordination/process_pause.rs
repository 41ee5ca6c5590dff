use geraniumpost_batch::ToAgent;
use geraniumpost_schema::Name;

/// Pause between two rounds of decisions after which the process must have stood still, in milliseconds.
const MIN_PAUSE_MS: u64 = 1_500;

/// Holds orders back after the process stood still, until the store has confirmed the term since.
///
/// A process that was frozen finds its inputs, its clock and its timers as if nothing had happened, and
/// repeats what was not answered. It may have a successor, which has decided otherwise, and an agent that
/// the successor does not reach would obey.
#[derive(Debug)]
pub struct ProcessPause {
    last_round_ms: u64,
    /// When the process was found to have stood still.
    resumed_ms: Option<u64>,
    held: Vec<(Name, ToAgent)>,
}

impl ProcessPause {
    /// Returns the state of a process that runs at a time on the boot clock.
    pub const fn new(now_ms: u64) -> Self {
        Self { last_round_ms: now_ms, resumed_ms: None, held: Vec::new() }
    }

    /// Takes note of a round of decisions. Returns for how long the process stood still before it, if it did.
    pub fn begin_round(&mut self, now_ms: u64) -> Option<u64> {
        let gap_ms = now_ms.saturating_sub(self.last_round_ms);
        self.last_round_ms = now_ms;
        let was_paused = gap_ms >= MIN_PAUSE_MS;
        if was_paused {
            self.resumed_ms = Some(now_ms);
        }
        was_paused.then_some(gap_ms)
    }

    /// Takes note that the store has confirmed the term when asked at a time. Returns the messages to send.
    pub fn term_confirmed(&mut self, requested_ms: u64) -> Vec<(Name, ToAgent)> {
        if self.resumed_ms.is_none_or(|resumed_ms| requested_ms < resumed_ms) {
            return Vec::new();
        }
        self.resumed_ms = None;
        std::mem::take(&mut self.held)
    }

    /// Returns the message unless it has to wait: the answers to beats say themselves what they rest on.
    pub fn hold_if_unconfirmed(
        &mut self,
        agent: Name,
        message: ToAgent,
    ) -> Option<(Name, ToAgent)> {
        if self.resumed_ms.is_none() || !matches!(message, ToAgent::Order(_)) {
            return Some((agent, message));
        }
        self.held.push((agent, message));
        None
    }
}
