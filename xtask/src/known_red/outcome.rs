use serde::{Deserialize, Serialize};

/// Exit code of a test binary with a failed test, as the test library sets it.
const TEST_FAILED: i32 = 101;

/// Outcome of a listed test.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum Outcome {
    /// The test failed, as listed.
    Failed,
    /// The test passed.
    Passed,
    /// Its process was ended by a signal or by an exit code that a failed test does not cause.
    Crashed,
    /// The command line does not select the test.
    LeftOut,
}

impl Outcome {
    /// Converts the exit code of a process that ran one test; there is none after a signal.
    ///
    /// A crash does not count as the listed failure, because it may have another cause that nobody
    /// has examined.
    pub const fn from_code(code: Option<i32>) -> Self {
        match code {
            Some(0) => Self::Passed,
            Some(TEST_FAILED) => Self::Failed,
            _ => Self::Crashed,
        }
    }
}
