use geraniumpost_core::config::Source;

/// Request of a [`ConfigUpdater`](super::ConfigUpdater) to fetch configurations, which its process
/// carries out.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum FetchRequest {
    /// Ask every peer for its configuration in force. The store is not asked, because
    /// [`follow_store`](super::follow_store) reads it.
    AllPeers,
    /// Ask one source for its configuration.
    One(Source),
}
