/// When an agent is ejected, and how long for.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct EjectionLimits {
    pub(super) consecutive: u32,
    pub(super) ratio_permille: u64,
    pub(super) ratio_least: u64,
    pub(super) window_ms: u64,
    pub(super) most_permille: usize,
    pub(super) backoff_ms: u64,
    pub(super) backoff_most_ms: u64,
}

impl EjectionLimits {
    /// Returns limits that suit a few requests a second as well as thousands.
    pub const fn new() -> Self {
        Self {
            consecutive: 5,
            ratio_permille: 500,
            ratio_least: 20,
            window_ms: 10_000,
            most_permille: 340,
            backoff_ms: 1_000,
            backoff_most_ms: 30_000,
        }
    }

    /// Sets the failures in a row that eject an agent.
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

    /// Sets the largest share of a service's agents, in thousandths, that may be ejected.
    #[must_use]
    pub const fn most_permille(mut self, permille: usize) -> Self {
        self.most_permille = permille;
        self
    }

    /// Sets the first pause before an ejected agent is probed, and the longest.
    #[must_use]
    pub const fn backoff_ms(mut self, first: u64, most: u64) -> Self {
        self.backoff_ms = first;
        self.backoff_most_ms = most;
        self
    }

    /// Most agents that may be ejected among `total`.
    ///
    /// One of two may always go, because a single failing minion is the common fault; a lone agent
    /// never goes, because a caller's chance with it is better than a certain refusal.
    pub(super) fn most(&self, total: usize) -> usize {
        if total < 2 { 0 } else { (total * self.most_permille / 1000).max(1) }
    }

    pub(super) fn pause_ms(&self, ejections: u32) -> u64 {
        let doubled = self.backoff_ms.saturating_mul(1 << ejections.saturating_sub(1).min(20));
        doubled.min(self.backoff_most_ms)
    }
}

impl Default for EjectionLimits {
    fn default() -> Self {
        Self::new()
    }
}
