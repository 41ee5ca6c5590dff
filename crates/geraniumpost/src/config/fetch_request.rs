use geraniumpost_core::config::Source;

/// What a [`ConfigUpdater`](super::ConfigUpdater) asks its process to do.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum FetchRequest {
    /// Ask every peer for what it has in force; the store is read by
    /// [`follow_store`](super::follow_store) already.
    AllPeers,
    /// Ask one source for its document.
    One(Source),
}
