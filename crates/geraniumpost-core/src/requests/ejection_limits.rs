/// Limits that decide when an agent is ejected and when it is probed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct EjectionLimits {
    pub(super) consecutive_failures: u32,
    pub(super) failure_permille: u64,
    pub(super) failure_min_attempts: u64,
    pub(super) window_ms: u64,
    pub(super) max_ejected_permille: usize,
    pub(super) backoff_ms: u64,
    pub(super) backoff_max_ms: u64,
}

impl EjectionLimits {
    /// Returns the defaults, for a few requests per second as well as for thousands: 5 consecutive
    /// failures, or half of at least 20 attempts within about 10 s; at most 34 % of the agents of a
    /// service, or one agent if that is more; probes after 1 s to 30 s.
    pub const fn new() -> Self {
        Self {
            consecutive_failures: 5,
            failure_permille: 500,
            failure_min_attempts: 20,
            window_ms: 10_000,
            max_ejected_permille: 340,
            backoff_ms: 1_000,
            backoff_max_ms: 30_000,
        }
    }

    /// Sets the number of consecutive failures that ejects an agent.
    #[must_use]
    pub const fn consecutive_failures(mut self, failures: u32) -> Self {
        self.consecutive_failures = failures;
        self
    }

    /// Sets the share of failures, in thousandths, at which an agent with at least 20 recent
    /// attempts is ejected.
    #[must_use]
    pub const fn failure_permille(mut self, permille: u64) -> Self {
        self.failure_permille = permille;
        self
    }

    /// Sets the maximum share of the agents of a service, in thousandths, that may be ejected. Of
    /// two or more agents, one may always be ejected.
    #[must_use]
    pub const fn max_ejected_permille(mut self, permille: usize) -> Self {
        self.max_ejected_permille = permille;
        self
    }

    /// Sets the initial and the maximum delay before an ejected agent is probed.
    #[must_use]
    pub const fn backoff_ms(mut self, initial: u64, max: u64) -> Self {
        self.backoff_ms = initial;
        self.backoff_max_ms = max;
        self
    }

    /// Maximum number of agents that may be ejected in a service with `total` agents.
    ///
    /// In a service of two or more agents, one may always be ejected, because a single failing
    /// minion is the most common fault. A sole agent is never ejected: an attempt there may
    /// succeed, whereas without it every request would be refused.
    pub(super) fn max_ejected(&self, total: usize) -> usize {
        if total < 2 { 0 } else { (total * self.max_ejected_permille / 1000).max(1) }
    }

    pub(super) fn probe_delay_ms(&self, ejections: u32) -> u64 {
        let doubled = self.backoff_ms.saturating_mul(1 << ejections.saturating_sub(1).min(20));
        doubled.min(self.backoff_max_ms)
    }
}

impl Default for EjectionLimits {
    fn default() -> Self {
        Self::new()
    }
}
