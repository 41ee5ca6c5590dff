/// What a minion's serving tasks of one image have shown.
#[derive(Debug, Clone, Default)]
pub(super) struct Serving {
    /// Runs of the image.
    pub(super) runs: u32,
    /// Their worst tail in bounds at the last look.
    pub(super) tail: f64,
    /// Their business when it was last learnt from; 0 before that.
    pub(super) business: f64,
    /// What is left of it without what fills beside them, smoothed: the image's own load.
    pub(super) own: f64,
}
