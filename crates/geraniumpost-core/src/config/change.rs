use geraniumpost_schema::Name;
use serde_json::Value;

/// A checked change that an operator asks for.
#[derive(Debug, Clone, PartialEq)]
pub struct Change {
    /// Random identity, the same in every repeat of the call.
    pub change_id: Name,
    /// Operator who asks.
    pub changed_by: Name,
    /// Revision that the operator has edited, 0 if there was none.
    pub based_on: u64,
    /// The whole new document.
    pub document: Value,
}
