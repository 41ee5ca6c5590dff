use geraniumpost_schema::Name;

/// A best-effort image that runs at a low pace beside a serving step, to learn how much it slows
/// the step's tasks.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Trial {
    /// The minion on which the image runs.
    pub minion: Name,
    /// The best-effort image.
    pub image: Name,
    /// Beginning of the trial, on the monotonic clock.
    pub since_ms: u64,
}
