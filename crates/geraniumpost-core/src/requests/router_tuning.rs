/// Figures of the [`super::Router`], measured in `docs/design/0101-routing.md`.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct RouterTuning {
    pub(super) domain_cost_us: u64,
    pub(super) region_cost_us: u64,
    pub(super) fresh_ms: u64,
}

impl RouterTuning {
    /// Returns the figures for failure domains half a millisecond apart and heartbeats of 500 ms.
    pub const fn new() -> Self {
        Self { domain_cost_us: 1_000, region_cost_us: 50_000, fresh_ms: 100 }
    }

    /// Sets what leaving the own failure domain costs, in microseconds of waiting.
    #[must_use]
    pub const fn domain_cost_us(mut self, us: u64) -> Self {
        self.domain_cost_us = us;
        self
    }

    /// Sets what leaving the own region costs, in microseconds of waiting.
    #[must_use]
    pub const fn region_cost_us(mut self, us: u64) -> Self {
        self.region_cost_us = us;
        self
    }

    /// Sets the age in milliseconds, at least 1, from which a report of others' requests is no longer
    /// believed.
    #[must_use]
    pub const fn fresh_ms(mut self, ms: u64) -> Self {
        self.fresh_ms = if ms == 0 { 1 } else { ms };
        self
    }

    pub(super) const fn tier_cost_us(&self, tier: usize) -> u64 {
        match tier {
            0 => 0,
            1 => self.domain_cost_us,
            _ => self.region_cost_us,
        }
    }
}

impl Default for RouterTuning {
    fn default() -> Self {
        Self::new()
    }
}
