use super::Source;

/// An action that [`Adoption`](super::Adoption) requests from the shell.
#[derive(Debug, Clone, PartialEq)]
pub enum AdoptionAction<T> {
    /// Request the document in force from the store and every peer.
    FetchAll,
    /// Request the document from one source.
    Fetch {
        /// Source of the document.
        source: Source,
        /// Revision that the source announced.
        revision: u64,
    },
    /// Put a document in force.
    Adopt {
        /// Revision of the document.
        revision: u64,
        /// Document to be put in force.
        document: T,
    },
}
