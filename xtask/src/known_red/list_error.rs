use derive_more::{Display, Error};

/// Why the list of known failures cannot be read; lines are counted from 1.
#[derive(Debug, Display, Error, Clone, Copy, PartialEq, Eq)]
pub enum ListError {
    /// A line without indentation does not name a test.
    #[display("line {line}: a test is named by three words: PACKAGE TARGET TEST")]
    InvalidTest {
        /// Number of the line.
        line: usize,
    },
    /// An indented line comes before the first test.
    #[display("line {line}: a detail comes before the first test")]
    DetailWithoutTest {
        /// Number of the line.
        line: usize,
    },
    /// An indented line is not a detail.
    #[display("line {line}: a detail reads `command: TEXT`, `seed:`, `seen:` or `issue:`")]
    InvalidDetail {
        /// Number of the line.
        line: usize,
    },
    /// A detail is given again.
    #[display("line {line}: this detail is given twice")]
    DuplicateDetail {
        /// Number of the line.
        line: usize,
    },
    /// A test has no value for a detail.
    #[display("line {line}: this test has no `{key}:`")]
    MissingDetail {
        /// Number of the test's line.
        line: usize,
        /// The missing detail.
        key: &'static str,
    },
    /// A test is listed twice.
    #[display("line {line}: this test is listed twice")]
    DuplicateTest {
        /// Number of the second line.
        line: usize,
    },
}
