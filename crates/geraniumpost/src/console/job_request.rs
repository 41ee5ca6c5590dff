use geraniumpost_schema::{Name, Resources};
use serde::{Deserialize, Serialize};

/// Job in a submission of an operator.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct JobRequest {
    /// Customer that owns the job.
    pub customer: Name,
    /// Job class in the document.
    pub class: Name,
    /// Processors to reserve, in thousandths of one.
    pub milli_cpus: u64,
    /// Memory to reserve, in mebibytes.
    pub memory_mb: u64,
    /// Number of accelerators to reserve.
    #[serde(default)]
    pub accelerators: u32,
    /// Command that the worker runs.
    pub command: String,
}

impl JobRequest {
    /// Returns the resources that the job reserves on a VM.
    pub const fn need(&self) -> Resources {
        Resources {
            milli_cpus: self.milli_cpus,
            memory_mb: self.memory_mb,
            accelerators: self.accelerators,
        }
    }
}
