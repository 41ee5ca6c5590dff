/// What a minion's serving tasks of one image have shown.
#[derive(Debug, Clone, Default)]
pub(super) struct ServingTasks {
    /// Runs of the image.
    pub(super) runs: u32,
    /// The highest typical tail of its groups at the last look, in bounds.
    pub(super) tail: f64,
}
