use geraniumpost_core::config::Source;

/// What a [`ConfigKeeper`](super::ConfigKeeper) asks its process to do.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Wanted {
    /// Ask every peer for what it has in force; the store is read by
    /// [`follow_store`](super::follow_store) already.
    AskAll,
    /// Ask one source for its document.
    Fetch(Source),
}
