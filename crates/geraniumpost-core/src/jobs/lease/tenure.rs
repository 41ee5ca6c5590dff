use super::TermRecord;

/// A term that this process holds.
#[derive(Debug, Clone)]
pub(super) struct Tenure {
    pub(super) record: TermRecord,
    pub(super) revision: u64,
}
