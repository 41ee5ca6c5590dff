use derive_more::{Constructor, Display};
use serde::{Deserialize, Serialize};

/// Identifies one test of the workspace.
///
/// A test's own name can occur in several packages and targets, so all three parts are needed.
#[derive(
    Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize, Constructor, Display,
)]
#[display("{package} {target} {name}")]
pub struct TestId {
    package: String,
    target: String,
    name: String,
}

impl TestId {
    /// Returns the name of the package.
    pub fn package(&self) -> &str {
        &self.package
    }

    /// Returns the target as the list writes it, such as `--lib`.
    pub fn target(&self) -> &str {
        &self.target
    }

    /// Returns the full name of the test within its target.
    pub fn name(&self) -> &str {
        &self.name
    }
}
