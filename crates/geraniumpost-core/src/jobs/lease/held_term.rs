use super::TermRecord;

/// The term that this process holds, with the revision of its record in the store.
#[derive(Debug, Clone)]
pub(super) struct HeldTerm {
    pub(super) record: TermRecord,
    pub(super) revision: u64,
}
