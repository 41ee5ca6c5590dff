use geraniumpost_schema::{Name, Resources};
use serde::{Deserialize, Serialize};

/// A job as an operator submits it.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct JobRequest {
    /// Customer whose quota it counts against.
    pub customer: Name,
    /// Class from the document.
    pub class: Name,
    /// Thousandths of a processor.
    pub milli_cpus: u64,
    /// Mebibytes of memory.
    pub memory_mb: u64,
    /// Whole accelerators.
    #[serde(default)]
    pub accelerators: u32,
    /// What the worker runs.
    pub command: String,
}

impl JobRequest {
    /// Returns what the job needs of a VM.
    pub const fn need(&self) -> Resources {
        Resources {
            milli_cpus: self.milli_cpus,
            memory_mb: self.memory_mb,
            accelerators: self.accelerators,
        }
    }
}
