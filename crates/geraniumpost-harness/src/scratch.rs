use std::path::{Path, PathBuf};
use std::sync::atomic::{AtomicU32, Ordering};

use eyre::{Result, WrapErr};

static NEXT: AtomicU32 = AtomicU32::new(0);

/// A folder for settings and logs that is removed with its handle, unless the test has failed.
#[derive(Debug)]
pub struct Scratch {
    path: PathBuf,
}

impl Scratch {
    /// Creates a new folder among the system's temporary files.
    pub fn create() -> Result<Self> {
        let number = NEXT.fetch_add(1, Ordering::Relaxed);
        let name = format!("geraniumpost-harness-{}-{number}", std::process::id());
        let path = std::env::temp_dir().join(name);
        std::fs::create_dir_all(&path).wrap_err_with(|| format!("creating {}", path.display()))?;
        Ok(Self { path })
    }

    /// Returns the folder.
    pub fn path(&self) -> &Path {
        &self.path
    }
}

impl Drop for Scratch {
    fn drop(&mut self) {
        if std::thread::panicking() {
            eprintln!("logs are kept in {}", self.path.display());
        } else {
            let _ = std::fs::remove_dir_all(&self.path);
        }
    }
}
