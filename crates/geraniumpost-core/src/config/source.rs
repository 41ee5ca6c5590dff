use geraniumpost_schema::Name;

/// Where a revision was heard of.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Source {
    /// The platform's key-value service, whose answer is the highest revision there is.
    Store,
    /// Another process of the deployment, which may be behind.
    Peer(Name),
}
