use super::Source;

/// What the shell has to do about configurations.
#[derive(Debug, Clone, PartialEq)]
pub enum AdoptionAction<T> {
    /// Ask the store and every peer for what they hold.
    FetchAll,
    /// Ask one source for its document.
    Fetch {
        /// Whom to ask.
        source: Source,
        /// The revision it offered.
        revision: u64,
    },
    /// Put the document in force.
    Adopt {
        /// Its revision.
        revision: u64,
        /// The document.
        document: T,
    },
}
