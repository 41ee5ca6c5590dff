use geraniumpost_core::config::Source;

/// What a [`ConfigKeeper`](super::ConfigKeeper) asks its process to do.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Wanted {
    /// Read the store, if this process may, and ask every peer for what it has in force.
    AskAll,
    /// Ask one source for its document.
    Fetch(Source),
}
