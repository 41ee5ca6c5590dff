use std::path::{Path, PathBuf};
use std::sync::atomic::{AtomicU32, Ordering};

use eyre::{Result, WrapErr};

static NEXT: AtomicU32 = AtomicU32::new(0);

/// A directory for settings and logs that is removed on drop, unless the test has failed.
#[derive(Debug)]
pub struct ScratchDirectory {
    path: PathBuf,
}

impl ScratchDirectory {
    /// Creates a new directory in the system's directory for temporary files.
    pub fn create() -> Result<Self> {
        let number = NEXT.fetch_add(1, Ordering::Relaxed);
        let name = format!("geraniumpost-harness-{}-{number}", std::process::id());
        let path = std::env::temp_dir().join(name);
        std::fs::create_dir_all(&path).wrap_err_with(|| format!("creating {}", path.display()))?;
        Ok(Self { path })
    }

    /// Returns the path of the directory.
    pub fn path(&self) -> &Path {
        &self.path
    }
}

impl Drop for ScratchDirectory {
    fn drop(&mut self) {
        if std::thread::panicking() {
            eprintln!("the logs of the failed test are in {}", self.path.display());
        } else {
            let _ = std::fs::remove_dir_all(&self.path);
        }
    }
}
