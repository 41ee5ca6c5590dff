use derive_more::{Display, Error};

use super::TestId;

/// Why an entry of the list cannot be matched with a test.
#[derive(Debug, Display, Error, Clone, PartialEq, Eq)]
pub enum PlanError {
    /// No package of this name has a target of this name.
    #[display("`{test}`: there is no such package or target")]
    UnknownTarget {
        /// The listed test.
        test: TestId,
    },
    /// The target contains no test of this name.
    #[display("`{test}`: the target has no such test")]
    UnknownTest {
        /// The listed test.
        test: TestId,
    },
    /// The test is marked as ignored, so it would pass without being run.
    #[display("`{test}`: the test is ignored and would not be run")]
    Ignored {
        /// The listed test.
        test: TestId,
    },
}
