use super::StoredDocument;

/// What the store has answered.
#[derive(Debug, Clone, PartialEq)]
pub enum ChangeEvent {
    /// The value that stands, with its revision; `None` if there is none.
    Read(Option<(u64, StoredDocument)>),
    /// The write took effect at this revision.
    Written(u64),
    /// Another write came first; this one had no effect.
    Conflict,
    /// A call certainly had no effect, as when the store is down.
    Failed,
    /// A call may have had its effect, its reply is missing.
    Lost,
}
