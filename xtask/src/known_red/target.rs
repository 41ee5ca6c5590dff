use serde_json::Value;

use super::TestId;

/// Kinds of targets that `--lib` selects.
const LIBRARY_KINDS: [&str; 6] = ["lib", "rlib", "dylib", "cdylib", "staticlib", "proc-macro"];

/// A part of a package that is built into one test binary.
///
/// An integration test is identified by its bare name, every other kind by the flag with which
/// cargo selects it: a package's library, binary and integration test may all have the same name.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Target {
    package: String,
    name: String,
}

impl Target {
    /// Reads cargo's JSON description of a target.
    pub fn new(package: &str, description: &Value) -> Option<Self> {
        let kind = description["kind"][0].as_str()?;
        let name = description["name"].as_str()?;
        let name = match kind {
            "test" => name.to_owned(),
            kind if LIBRARY_KINDS.contains(&kind) => "--lib".to_owned(),
            kind => format!("--{kind}={name}"),
        };
        Some(Self { package: package.to_owned(), name })
    }

    /// Returns all targets in the output of `cargo metadata`.
    pub fn all(metadata: &Value) -> Vec<Self> {
        let mut all = Vec::new();
        for package in metadata["packages"].as_array().into_iter().flatten() {
            let name = package["name"].as_str().unwrap_or_default();
            let targets = package["targets"].as_array().into_iter().flatten();
            all.extend(targets.filter_map(|target| Self::new(name, target)));
        }
        all
    }

    /// Returns whether a listed test belongs to this target.
    pub fn contains(&self, test: &TestId) -> bool {
        self.package == test.package() && self.name == test.target()
    }
}
