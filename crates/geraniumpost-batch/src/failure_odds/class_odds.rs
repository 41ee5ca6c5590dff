/// Time in which an observed end loses half of its weight, in milliseconds. Images are replaced
/// within minutes, and a fault that is gone must not count against the next version for long.
const HALF_LIFE_MS: f64 = 30_000.0;

/// Decaying counts of failed and of all runs of a class of work.
///
/// The counts belong to a Beta distribution over the odds of failure; the prior comes from the
/// caller, because a job's prior are the odds of its class.
#[derive(Debug, Clone, Copy, Default)]
pub struct ClassOdds {
    failed: f64,
    ended: f64,
    updated_ms: u64,
}

impl ClassOdds {
    /// Counts the end of a run with a weight from 0 to 1.
    pub fn record_end(&mut self, failed: bool, weight: f64, now_ms: u64) {
        let factor = self.decay(now_ms);
        self.failed = self.failed * factor + if failed { weight } else { 0.0 };
        self.ended = self.ended * factor + weight;
        self.updated_ms = now_ms;
    }

    /// Returns the mean odds of failure, given prior odds that weigh as much as `prior_runs` runs.
    pub fn mean(&self, prior: f64, prior_runs: f64, now_ms: u64) -> f64 {
        let factor = self.decay(now_ms);
        (prior * prior_runs + self.failed * factor) / (prior_runs + self.ended * factor)
    }

    /// Returns how many runs the counts weigh.
    pub fn weight(&self, now_ms: u64) -> f64 {
        self.ended * self.decay(now_ms)
    }

    fn decay(&self, now_ms: u64) -> f64 {
        (-(now_ms.saturating_sub(self.updated_ms) as f64) / HALF_LIFE_MS).exp2()
    }
}
