use std::path::PathBuf;

/// Options of a minion.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct MinionOptions {
    /// Name in the record.
    pub name: String,
    /// Limit on concurrent requests; runs beyond it are recorded.
    pub slots: u64,
    /// Limit on open connections; an excess is recorded.
    pub connections: u64,
    /// Default service time of a request, in milliseconds.
    pub work_ms: u64,
    /// File to which the record is also written.
    pub record: Option<PathBuf>,
}

impl Default for MinionOptions {
    fn default() -> Self {
        let name = "minion".to_owned();
        Self { name, slots: 8, connections: 64, work_ms: 0, record: None }
    }
}
