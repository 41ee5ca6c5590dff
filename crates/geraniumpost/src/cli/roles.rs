use eyre::Result;
use geraniumpost_batch::Features;
use geraniumpost_schema::{AgentSettings, EntrySettings};

/// Functions of the long-running roles. Each runs until the process is asked to stop.
#[derive(Debug, Clone, Copy)]
pub struct Roles {
    /// Runs `geraniumpost entry`.
    pub entry: fn(EntrySettings) -> Result<()>,
    /// Runs `geraniumpost agent`.
    pub agent: fn(AgentSettings) -> Result<()>,
    /// Runs `geraniumpost job-entry` with these optional decisions.
    pub job_entry: fn(Features) -> Result<()>,
    /// Runs `geraniumpost job-agent`.
    pub job_agent: fn() -> Result<()>,
}
