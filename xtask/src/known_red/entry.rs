use std::fmt;

use super::TestId;

/// Details that each entry gives, in the order in which they are printed.
pub(super) const DETAILS: [&str; 4] = ["command", "seed", "seen", "issue"];

/// One test that is known to fail, with what a reader needs to see the failure again.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Entry {
    test: TestId,
    details: [String; DETAILS.len()],
}

impl Entry {
    /// Makes an entry from a test and its details in the order of the list's comment head.
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
