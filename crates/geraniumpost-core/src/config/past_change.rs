use geraniumpost_schema::Name;
use serde::{Deserialize, Serialize};

/// Note on one committed change, kept in the stored value.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct PastChange {
    /// Random identity of the change, chosen by whoever asked for it.
    pub change_id: Name,
    /// Operator who asked for it.
    pub changed_by: Name,
    /// Revision that it replaced, 0 if there was none.
    pub based_on: u64,
    /// Values that it changed, as paths joined by dots.
    pub paths: Vec<Name>,
}
