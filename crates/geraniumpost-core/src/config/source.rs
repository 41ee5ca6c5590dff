use geraniumpost_schema::Name;

/// Process or service that announced or sent a revision.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Source {
    /// The platform's key-value service, which always has the highest revision.
    Store,
    /// Another process of the deployment, whose revision may be older.
    Peer(Name),
}
