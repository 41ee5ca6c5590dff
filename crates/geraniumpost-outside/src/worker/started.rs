/// What a start did.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Started {
    /// A new run began.
    New,
    /// This epoch had been started before, so nothing was done.
    AlreadyStarted,
}
