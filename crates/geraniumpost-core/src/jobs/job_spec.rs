use geraniumpost_schema::{Name, Resources};
use serde::{Deserialize, Serialize};

/// Longest command in bytes; longer input belongs into the customer's own storage.
const MAX_COMMAND: usize = 4096;
/// Longest job id in bytes.
const MAX_ID: usize = 128;

/// What a customer asks for when it submits a job.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct JobSpec {
    /// Id chosen by the customer; a repeated submission is known by it.
    pub id: Name,
    /// Customer the job belongs to.
    pub customer: Name,
    /// Job class of the configuration.
    pub class: Name,
    /// Declared size.
    pub need: Resources,
    /// Command the worker runs.
    pub command: String,
}

impl JobSpec {
    /// Returns whether the id can be part of paths, keys and log lines.
    pub fn has_valid_id(&self) -> bool {
        let allowed = |byte: u8| byte.is_ascii_alphanumeric() || b"._-".contains(&byte);
        (1..=MAX_ID).contains(&self.id.len()) && self.id.bytes().all(allowed)
    }

    /// Returns whether the command is short enough for a record.
    pub const fn has_valid_command(&self) -> bool {
        self.command.len() <= MAX_COMMAND
    }
}
