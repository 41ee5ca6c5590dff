use geraniumpost_schema::Name;
use serde_json::Value;

/// A validated change requested by an operator.
#[derive(Debug, Clone, PartialEq)]
pub struct Change {
    /// Random id, which is the same in every repetition of the request.
    pub change_id: Name,
    /// Name of the operator who requested the change.
    pub changed_by: Name,
    /// Revision that the operator edited, 0 if there was none.
    pub based_on: u64,
    /// The complete new document.
    pub document: Value,
}
