use std::path::{Path, PathBuf};

use eyre::{Result, WrapErr, bail};

/// Paths of the binaries that the harness starts.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Binaries {
    geraniumpost: PathBuf,
    standin: PathBuf,
}

impl Binaries {
    /// Uses the shipped binary at `geraniumpost` and the stand-ins' binary in the same folder.
    pub fn new(geraniumpost: impl Into<PathBuf>) -> Self {
        let geraniumpost = geraniumpost.into();
        let standin = geraniumpost.with_file_name("geraniumpost-standin");
        Self { geraniumpost, standin }
    }

    /// Finds the binaries in the folder of the running executable or in its parent.
    ///
    /// Cargo puts binaries into the profile's folder and test executables into its `deps` folder.
    pub fn beside_current_exe() -> Result<Self> {
        let exe = std::env::current_exe().wrap_err("finding the running executable")?;
        for folder in exe.ancestors().skip(1).take(2) {
            let candidate = folder.join("geraniumpost");
            if candidate.is_file() {
                return Ok(Self::new(candidate));
            }
        }
        bail!(
            "no geraniumpost binary in the folder of {} or its parent; run cargo build first",
            exe.display()
        )
    }

    /// Returns the path of the shipped binary.
    pub fn geraniumpost(&self) -> &Path {
        &self.geraniumpost
    }

    /// Returns the path of the stand-ins' binary.
    pub fn standin(&self) -> &Path {
        &self.standin
    }
}
