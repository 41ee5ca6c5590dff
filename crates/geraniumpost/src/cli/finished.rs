use super::ExitStatus;

/// What a command prints and how it exits.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Finished {
    /// Exit code.
    pub status: ExitStatus,
    /// Text for standard output.
    pub out: String,
    /// Text for standard error.
    pub err: String,
}

impl Finished {
    /// Creates the end of a command that did what was asked.
    pub fn success(out: impl Into<String>) -> Self {
        Self { status: ExitStatus::Success, out: out.into(), err: String::new() }
    }

    /// Creates the end of a command that did not.
    pub fn failure(status: ExitStatus, err: impl Into<String>) -> Self {
        Self { status, out: String::new(), err: err.into() }
    }
}
