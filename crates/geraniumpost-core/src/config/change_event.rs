use super::StoredDocument;

/// The result of a store call made for a change.
#[derive(Debug, Clone, PartialEq)]
pub enum ChangeEvent {
    /// The current value with its revision, `None` if there is none.
    Read(Option<(u64, StoredDocument)>),
    /// The write took effect at this revision.
    Written(u64),
    /// Another write changed the revision first; this one had no effect.
    Conflict,
    /// The call definitely had no effect, for example because the store is down.
    Failed,
    /// The response was lost; the call may have taken effect.
    Lost,
}
