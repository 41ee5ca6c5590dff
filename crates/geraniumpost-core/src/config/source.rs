use geraniumpost_schema::Name;

/// Origin of an announced or received revision.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Source {
    /// The platform's key-value service, which always has the highest revision.
    Store,
    /// Another process of the deployment, whose revision may be older.
    Peer(Name),
}
