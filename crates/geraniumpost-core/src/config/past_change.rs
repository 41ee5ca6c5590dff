use geraniumpost_schema::Name;
use serde::{Deserialize, Serialize};

/// A committed change, as recorded in the stored value.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct PastChange {
    /// Random id of the change, chosen by the client that requested it.
    pub change_id: Name,
    /// Name of the operator who requested the change.
    pub changed_by: Name,
    /// Revision that the change replaced, 0 if there was none.
    pub based_on: u64,
    /// Dot-separated paths of the changed values; may be truncated or empty.
    pub paths: Vec<Name>,
}
