use super::StoredDocument;

/// The result of a store call made for a change.
#[derive(Debug, Clone, PartialEq)]
pub enum ChangeEvent {
    /// The read returned this revision and value, `None` if the key does not exist.
    Read(Option<(u64, StoredDocument)>),
    /// The write took effect at this revision.
    Written(u64),
    /// The key did not have the expected revision; the write had no effect.
    Conflict,
    /// The call definitely had no effect, for example because the store is down.
    Failed,
    /// The response was lost; the call may have taken effect.
    Lost,
}
