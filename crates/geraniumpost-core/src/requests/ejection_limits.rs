/// Limits that decide when an agent is ejected, and for how long.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct EjectionLimits {
    pub(super) consecutive: u32,
    pub(super) ratio_permille: u64,
    pub(super) ratio_min_attempts: u64,
    pub(super) window_ms: u64,
    pub(super) max_ejected_permille: usize,
    pub(super) backoff_ms: u64,
    pub(super) backoff_max_ms: u64,
}

impl EjectionLimits {
    /// Returns defaults that suit a few requests per second as well as thousands.
    pub const fn new() -> Self {
        Self {
            consecutive: 5,
            ratio_permille: 500,
            ratio_min_attempts: 20,
            window_ms: 10_000,
            max_ejected_permille: 340,
            backoff_ms: 1_000,
            backoff_max_ms: 30_000,
        }
    }

    /// Sets the number of consecutive failures that ejects an agent.
    #[must_use]
    pub const fn consecutive(mut self, failures: u32) -> Self {
        self.consecutive = failures;
        self
    }

    /// Sets the share of failures, in thousandths, that ejects an agent.
    #[must_use]
    pub const fn ratio_permille(mut self, permille: u64) -> Self {
        self.ratio_permille = permille;
        self
    }

    /// Sets the maximum share of the agents of a service, in thousandths, that may be ejected.
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

    /// Maximum number of agents among `total` that may be ejected.
    ///
    /// One of two agents may always be ejected, because a single failing minion is the most common
    /// fault. A sole agent is never ejected, because an attempt there may succeed and a refusal
    /// cannot.
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
