use super::Source;

/// An action that [`Adoption`](super::Adoption) requests from the shell.
#[derive(Debug, Clone, PartialEq)]
pub enum AdoptionAction<T> {
    /// Request the document in force from the store and every peer.
    FetchAll,
    /// Request the document from one source.
    Fetch {
        /// Source that announced the revision.
        source: Source,
        /// Announced revision; the source may respond with a higher one.
        revision: u64,
    },
    /// Put a document in force, in place of a document with a lower revision, if there is any.
    Adopt {
        /// Revision under which the document is stored.
        revision: u64,
        /// Document as it was passed with the event.
        document: T,
    },
}
