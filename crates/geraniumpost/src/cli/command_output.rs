use super::ExitStatus;

/// Output and exit code of a command.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct CommandOutput {
    /// Exit code.
    pub status: ExitStatus,
    /// Text for standard output.
    pub out: String,
    /// Text for standard error.
    pub err: String,
}

impl CommandOutput {
    /// Returns the result of a command that succeeded.
    pub fn success(out: impl Into<String>) -> Self {
        Self { status: ExitStatus::Success, out: out.into(), err: String::new() }
    }

    /// Returns the result of a command that failed.
    pub fn failure(status: ExitStatus, err: impl Into<String>) -> Self {
        Self { status, out: String::new(), err: err.into() }
    }
}
