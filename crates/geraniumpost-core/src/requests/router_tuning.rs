/// Costs of distance and the age limit of load reports for the [`super::Router`]. The measurements
/// behind the defaults are in `docs/design/0101-routing.md`.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct RouterTuning {
    pub(super) domain_cost_us: u64,
    pub(super) region_cost_us: u64,
    pub(super) report_max_age_ms: u64,
}

impl RouterTuning {
    /// Returns the defaults, for failure domains half a millisecond apart and a heartbeat interval
    /// of 500 ms.
    pub const fn new() -> Self {
        Self { domain_cost_us: 1_000, region_cost_us: 50_000, report_max_age_ms: 100 }
    }

    /// Sets the surcharge for agents in another failure domain of the region, in microseconds of
    /// waiting.
    #[must_use]
    pub const fn domain_cost_us(mut self, us: u64) -> Self {
        self.domain_cost_us = us;
        self
    }

    /// Sets the surcharge for agents in another region, in microseconds of waiting.
    #[must_use]
    pub const fn region_cost_us(mut self, us: u64) -> Self {
        self.region_cost_us = us;
        self
    }

    /// Sets the age, in milliseconds and at least 1, at which the number of requests of other
    /// entries in a report is ignored.
    #[must_use]
    pub const fn report_max_age_ms(mut self, ms: u64) -> Self {
        self.report_max_age_ms = if ms == 0 { 1 } else { ms };
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
