use geraniumpost_batch::ToAgent;
use geraniumpost_schema::Name;

/// Shortest gap between two rounds of decisions that counts as a process pause, in milliseconds.
const MIN_PAUSE_MS: u64 = 1_500;

/// Holds orders back after the process was paused, until the store has confirmed the term.
///
/// A paused process resumes with its inputs and timers unchanged, and repeats orders without a
/// result. A successor may have made other decisions meanwhile, and an agent that does not know the
/// successor would still carry out the repeated orders.
#[derive(Debug)]
pub struct ProcessPause {
    last_round_ms: u64,
    /// Time at which the last pause was detected; `None` once the store has confirmed the term.
    resumed_ms: Option<u64>,
    held_orders: Vec<(Name, ToAgent)>,
}

impl ProcessPause {
    /// Returns the state of a process that runs at `now_ms` on the monotonic clock.
    pub const fn new(now_ms: u64) -> Self {
        Self { last_round_ms: now_ms, resumed_ms: None, held_orders: Vec::new() }
    }

    /// Records the start of a round of decisions. Returns the length of the pause before it in
    /// milliseconds, if the process was paused.
    pub fn begin_round(&mut self, now_ms: u64) -> Option<u64> {
        let gap_ms = now_ms.saturating_sub(self.last_round_ms);
        self.last_round_ms = now_ms;
        let was_paused = gap_ms >= MIN_PAUSE_MS;
        if was_paused {
            self.resumed_ms = Some(now_ms);
        }
        was_paused.then_some(gap_ms)
    }

    /// Records that the store has confirmed the term in response to a call sent at `requested_ms`.
    /// Returns the held orders, which can be sent now, or nothing if the call was sent before the
    /// pause was detected.
    pub fn record_term_confirmation(&mut self, requested_ms: u64) -> Vec<(Name, ToAgent)> {
        if self.resumed_ms.is_none_or(|resumed_ms| requested_ms < resumed_ms) {
            return Vec::new();
        }
        self.resumed_ms = None;
        std::mem::take(&mut self.held_orders)
    }

    /// Returns the message, or holds it back if it is an order and the confirmation is missing.
    /// Responses to heartbeats are not held, because agents check the age and fencing token of each
    /// response.
    pub fn hold_if_unconfirmed(
        &mut self,
        agent: Name,
        message: ToAgent,
    ) -> Option<(Name, ToAgent)> {
        if self.resumed_ms.is_none() || !matches!(message, ToAgent::Order(_)) {
            return Some((agent, message));
        }
        self.held_orders.push((agent, message));
        None
    }
}
