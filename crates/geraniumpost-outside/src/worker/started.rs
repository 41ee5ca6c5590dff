/// Result of a successful start.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Started {
    /// A new run began.
    New,
    /// The same epoch had been started before, so the call did nothing.
    AlreadyStarted,
}
