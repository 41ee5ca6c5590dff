use super::Source;

/// An input of [`Adoption`](super::Adoption); `T` is the type of the document in the shell.
#[derive(Debug, Clone, PartialEq)]
pub enum AdoptionEvent<T> {
    /// The process has started and has no configuration.
    Started,
    /// A source announced a revision, as every heartbeat does.
    Offered {
        /// Source that announced the revision and can provide it.
        source: Source,
        /// Revision in force at the source.
        revision: u64,
    },
    /// A valid document was received.
    Received {
        /// Source that sent the document.
        source: Source,
        /// Revision under which the document is stored.
        revision: u64,
        /// Document, decoded by the shell.
        document: T,
    },
    /// A document was received that this process cannot decode.
    Unreadable {
        /// Revision that is not fetched again.
        revision: u64,
    },
    /// The store responded that it contains no document.
    StoreEmpty,
    /// Time has passed: the collection may end, or a request without a response is repeated.
    Tick,
}
