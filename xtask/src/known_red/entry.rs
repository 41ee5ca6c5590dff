use std::fmt;

use super::TestId;

/// Details of each entry, in the order in which they are printed.
pub(super) const DETAILS: [&str; 4] = ["command", "seed", "seen", "issue"];

/// One test that is known to fail, with what is needed to reproduce the failure.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Entry {
    test: TestId,
    details: [String; DETAILS.len()],
}

impl Entry {
    /// Creates an entry from a test and its details, which are in the order of [`DETAILS`].
    pub const fn new(test: TestId, details: [String; DETAILS.len()]) -> Self {
        Self { test, details }
    }

    /// Returns the test.
    pub const fn test(&self) -> &TestId {
        &self.test
    }
}

impl fmt::Display for Entry {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}", self.test)?;
        for (key, text) in DETAILS.iter().zip(&self.details) {
            write!(f, "\n    {key}: {text}")?;
        }
        Ok(())
    }
}
