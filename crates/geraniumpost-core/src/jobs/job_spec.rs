use geraniumpost_schema::{Name, Resources};
use serde::{Deserialize, Serialize};

/// Maximum length of a command in bytes; larger input belongs in the customer's own storage.
const MAX_COMMAND_BYTES: usize = 4096;
const MAX_ID_BYTES: usize = 128;

/// A job as submitted by a customer.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct JobSpec {
    /// Id chosen by the customer, which identifies repeated submissions.
    pub id: Name,
    /// Customer that owns the job and whose quota the job counts against.
    pub customer: Name,
    /// Name of a job class in the configuration.
    pub class: Name,
    /// Resources that each run of the job reserves on its VM, unless placement reserves more.
    pub need: Resources,
    /// Command that the worker runs, limited to 4096 bytes.
    pub command: String,
}

impl JobSpec {
    /// Returns whether the id has 1 to 128 ASCII letters, digits, dots, dashes or underscores.
    pub fn has_valid_id(&self) -> bool {
        let allowed = |byte: u8| byte.is_ascii_alphanumeric() || b"._-".contains(&byte);
        (1..=MAX_ID_BYTES).contains(&self.id.len()) && self.id.bytes().all(allowed)
    }

    /// Returns whether the command is short enough for a record.
    pub const fn has_valid_command(&self) -> bool {
        self.command.len() <= MAX_COMMAND_BYTES
    }
}
