use crate::jobs::JobRecord;

/// A record with its cached encoding, so that a commit encodes only changed records.
#[derive(Debug, Clone)]
pub(super) struct StoredRecord {
    record: JobRecord,
    encoded: String,
}

impl StoredRecord {
    pub(super) fn new(record: JobRecord) -> Self {
        let encoded = serde_json::to_string(&record).unwrap_or_default();
        Self { record, encoded }
    }

    pub(super) const fn record(&self) -> &JobRecord {
        &self.record
    }

    pub(super) fn encoded(&self) -> &str {
        &self.encoded
    }
}
