use super::Source;

/// What a process learns about configurations; `T` is the document as the shell holds it.
#[derive(Debug, Clone, PartialEq)]
pub enum AdoptionEvent<T> {
    /// The process has started and knows nothing.
    Started,
    /// Somebody says that a revision exists, as every heartbeat does.
    Offered {
        /// Who says so, and can be asked for it.
        source: Source,
        /// The revision in force there.
        revision: u64,
    },
    /// A readable document has arrived.
    Received {
        /// Who sent it.
        source: Source,
        /// Its revision.
        revision: u64,
        /// The document.
        document: T,
    },
    /// A document has arrived that this process cannot read.
    Unreadable {
        /// Its revision.
        revision: u64,
    },
    /// The store has answered that it holds no document.
    StoreEmpty,
    /// Time has passed.
    Tick,
}
