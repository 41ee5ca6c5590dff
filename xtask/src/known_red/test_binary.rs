use std::path::{Path, PathBuf};

use serde_json::Value;

use super::Target;

/// An executable that cargo has built to run the tests of one target.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct TestBinary {
    target: Target,
    path: PathBuf,
}

impl TestBinary {
    /// Reads one line of cargo's JSON messages; returns `None` unless it reports a test binary.
    pub fn from_message(line: &str) -> Option<Self> {
        let message: Value = serde_json::from_str(line).ok()?;
        if message["reason"] != "compiler-artifact" || message["profile"]["test"] != true {
            return None;
        }
        let path = message["executable"].as_str()?.into();
        let package = package_name(message["package_id"].as_str()?)?;
        let target = Target::new(package, &message["target"])?;
        Some(Self { target, path })
    }

    /// Returns the target.
    pub const fn target(&self) -> &Target {
        &self.target
    }

    /// Returns the path of the executable.
    pub fn path(&self) -> &Path {
        &self.path
    }
}

/// Extracts the package's name from its id.
///
/// An id ends in `#name@version`, or in `/name#version` if the folder has the name of the package.
fn package_name(id: &str) -> Option<&str> {
    let (location, version) = id.rsplit_once('#')?;
    let named = version.split_once('@').map(|(name, _)| name);
    named.or_else(|| location.rsplit('/').next())
}
