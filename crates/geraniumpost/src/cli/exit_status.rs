use std::process::ExitCode;

use crate::console::ApiCode;

/// Exit code of a command.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ExitStatus {
    /// Done.
    Success = 0,
    /// Refused, failed, or problems were found.
    Refused = 1,
    /// The command line cannot be read.
    Usage = 2,
    /// Others changed the configuration first.
    Conflict = 3,
    /// The entry did not answer, or whether the call was carried out is not known.
    Unreachable = 4,
}

impl ExitStatus {
    /// Returns the exit code that goes with a result code of the operators' API.
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
