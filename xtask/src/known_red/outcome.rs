use serde::{Deserialize, Serialize};

/// Exit code of a test binary with a failed test, as the test library sets it.
const TEST_FAILED: i32 = 101;

/// What became of a listed test.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum Outcome {
    /// It failed, as the list says.
    Failed,
    /// It passed.
    Passed,
    /// Its process ended by a signal or with an exit code that no test causes.
    Crashed,
    /// The command line does not select it.
    LeftOut,
}

impl Outcome {
    /// Judges the exit code of a process that ran one test; a signal leaves none.
    ///
    /// A crash does not count as the listed failure: it may be another fault, which nobody has
    /// looked into.
    pub const fn from_code(code: Option<i32>) -> Self {
        match code {
            Some(0) => Self::Passed,
            Some(TEST_FAILED) => Self::Failed,
            _ => Self::Crashed,
        }
    }
}
