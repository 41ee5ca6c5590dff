use crate::jobs::JobRecord;

/// A job as an operator sees it.
#[derive(Debug, Clone, PartialEq)]
pub struct JobView {
    /// The record.
    pub record: JobRecord,
    /// Whether the store has the record as it is.
    pub committed: bool,
    /// Whether an agent has said that the current run is under way.
    pub running: bool,
    /// Whether the current run is being evicted.
    pub evicting: bool,
}
