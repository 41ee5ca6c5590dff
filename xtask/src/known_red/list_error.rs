use derive_more::{Display, Error};

/// Why the list of known failures cannot be read; lines count from 1.
#[derive(Debug, Display, Error, Clone, Copy, PartialEq, Eq)]
pub enum ListError {
    /// A line without indentation is not a test.
    #[display("line {line}: a test is named by three words: PACKAGE TARGET TEST")]
    Test {
        /// Number of the line.
        line: usize,
    },
    /// An indented line stands before the first test.
    #[display("line {line}: a detail stands before the first test")]
    Stray {
        /// Number of the line.
        line: usize,
    },
    /// An indented line is not a detail.
    #[display("line {line}: a detail reads `command: TEXT`, `seed:`, `seen:` or `issue:`")]
    Detail {
        /// Number of the line.
        line: usize,
    },
    /// A detail is given again.
    #[display("line {line}: this detail has been given already")]
    Repeated {
        /// Number of the line.
        line: usize,
    },
    /// A test lacks a detail.
    #[display("line {line}: this test lacks its `{key}:`")]
    Missing {
        /// Number of the test's line.
        line: usize,
        /// The missing detail.
        key: &'static str,
    },
    /// A test is listed twice.
    #[display("line {line}: this test is listed already")]
    Twice {
        /// Number of the second line.
        line: usize,
    },
}
