use std::path::PathBuf;

/// What a minion is and takes.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct MinionOptions {
    /// Name in the record.
    pub name: String,
    /// Requests it may be given at once.
    pub slots: u64,
    /// Connections it may be given at once.
    pub connections: u64,
    /// Service time of a request that names none, in milliseconds.
    pub work_ms: u64,
    /// File that also receives the record.
    pub record: Option<PathBuf>,
}

impl Default for MinionOptions {
    fn default() -> Self {
        let name = "minion".to_owned();
        Self { name, slots: 8, connections: 64, work_ms: 0, record: None }
    }
}
