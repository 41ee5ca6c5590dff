use eyre::Result;
use geraniumpost_schema::{AgentSettings, EntrySettings};

/// The long-running roles, each run with its settings until it is told to stop.
#[derive(Debug, Clone, Copy)]
pub struct Roles {
    /// Runs `geraniumpost entry`.
    pub entry: fn(EntrySettings) -> Result<()>,
    /// Runs `geraniumpost agent`.
    pub agent: fn(AgentSettings) -> Result<()>,
    /// Runs `geraniumpost job-entry`.
    pub job_entry: fn() -> Result<()>,
    /// Runs `geraniumpost job-agent`.
    pub job_agent: fn() -> Result<()>,
}
