use std::process::ExitCode;

use crate::console::ApiCode;

/// Exit code of a command.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ExitStatus {
    /// The command succeeded.
    Success = 0,
    /// The call was refused or failed, or a check found problems.
    Refused = 1,
    /// The command line is invalid.
    Usage = 2,
    /// Another operator changed the configuration first.
    Conflict = 3,
    /// The entry did not answer, or it is unknown whether the call was carried out.
    Unreachable = 4,
}

impl ExitStatus {
    /// Returns the exit code for a result code of the operators' API.
    pub fn of_code(code: u64) -> Self {
        let is = |known: ApiCode| code == u64::from(known.number());
        if is(ApiCode::Conflict) {
            Self::Conflict
        } else if is(ApiCode::Uncertain) || is(ApiCode::Unknown) {
            Self::Unreachable
        } else {
            Self::Refused
        }
    }
}

impl From<ExitStatus> for ExitCode {
    fn from(status: ExitStatus) -> Self {
        Self::from(status as u8)
    }
}
