/// The filling tasks of one image on a minion.
#[derive(Debug, Clone)]
pub(super) struct Filling {
    pub(super) runs: i32,
    /// Processors that they would use, in thousandths.
    pub(super) milli_cpus: i64,
    /// Share that they are told to work at.
    pub(super) percent: u8,
}

impl Default for Filling {
    fn default() -> Self {
        Self { runs: 0, milli_cpus: 0, percent: 100 }
    }
}

impl Filling {
    /// Returns the processors that they use at a share of their speed, in thousandths.
    pub(super) fn at(&self, percent: u8) -> f64 {
        self.milli_cpus as f64 * f64::from(percent) / 100.0
    }
}
