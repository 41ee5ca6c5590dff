/// The serving runs of one image on a minion.
#[derive(Debug, Clone, Default)]
pub(super) struct ServingTasks {
    /// Number of runs.
    pub(super) runs: u32,
    /// The highest of its groups' median tail latencies in the last poll, as a multiple of the
    /// bound.
    pub(super) tail: f64,
}
