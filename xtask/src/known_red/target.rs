use serde_json::Value;

use super::TestId;

/// Kinds of a target that cargo calls a library.
const LIBRARIES: [&str; 6] = ["lib", "rlib", "dylib", "cdylib", "staticlib", "proc-macro"];

/// A part of a package that is built into one program of tests.
///
/// Its name is the bare name of an integration test, otherwise cargo's own flag: a package's
/// library, program and integration test may share one name, so only one kind can go without.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Target {
    package: String,
    name: String,
}

impl Target {
    /// Translates cargo's description of a target.
    pub fn new(package: &str, description: &Value) -> Option<Self> {
        let kind = description["kind"][0].as_str()?;
        let name = description["name"].as_str()?;
        let name = match kind {
            "test" => name.to_owned(),
            kind if LIBRARIES.contains(&kind) => "--lib".to_owned(),
            kind => format!("--{kind}={name}"),
        };
        Some(Self { package: package.to_owned(), name })
    }

    /// Returns all targets of the workspace that `cargo metadata` describes.
    pub fn all(metadata: &Value) -> Vec<Self> {
        let mut all = Vec::new();
        for package in metadata["packages"].as_array().into_iter().flatten() {
            let name = package["name"].as_str().unwrap_or_default();
            let targets = package["targets"].as_array().into_iter().flatten();
            all.extend(targets.filter_map(|target| Self::new(name, target)));
        }
        all
    }

    /// Tells whether a listed test belongs here.
    pub fn holds(&self, test: &TestId) -> bool {
        self.package == test.package() && self.name == test.target()
    }
}
