/// The serving runs of one image on a minion.
#[derive(Debug, Clone, Default)]
pub(super) struct ServingTasks {
    pub(super) run_count: u32,
    /// Highest median tail latency of any group of these runs in the last poll, as a multiple of
    /// the latency bound.
    pub(super) tail_latency_ratio: f64,
}
