use eyre::Result;
use geraniumpost_schema::{AgentSettings, EntrySettings};

/// The two long-running roles, each run with its checked settings until it is told to stop.
#[derive(Debug, Clone, Copy)]
pub struct Roles {
    /// Runs `geraniumpost entry`.
    pub entry: fn(EntrySettings) -> Result<()>,
    /// Runs `geraniumpost agent`.
    pub agent: fn(AgentSettings) -> Result<()>,
}
