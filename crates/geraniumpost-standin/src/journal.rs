use std::fs::{File, OpenOptions};
use std::io::Write;
use std::path::Path;
use std::sync::{Mutex, MutexGuard, PoisonError};

use eyre::{Result, WrapErr};
use serde::Serialize;

/// An append-only record of what really happened, in memory and optionally in a file.
///
/// The file outlives a killed stand-in, so that a checker still sees what ran before the kill.
#[derive(Debug)]
pub struct Journal<T> {
    inner: Mutex<Inner<T>>,
}

#[derive(Debug)]
struct Inner<T> {
    events: Vec<T>,
    file: Option<File>,
}

impl<T> Default for Journal<T> {
    fn default() -> Self {
        Self { inner: Mutex::new(Inner { events: Vec::new(), file: None }) }
    }
}

impl<T: Clone + Serialize> Journal<T> {
    /// Opens a journal that also appends each event as a JSON line to `path`, if there is one.
    pub fn open(path: Option<&Path>) -> Result<Self> {
        let journal = Self::default();
        if let Some(path) = path {
            let file = OpenOptions::new().create(true).append(true).open(path);
            journal.lock().file = Some(file.wrap_err_with(|| format!("open {}", path.display()))?);
        }
        Ok(journal)
    }

    /// Appends one event.
    pub fn append(&self, event: T) {
        let mut inner = self.lock();
        if let Some(file) = &mut inner.file {
            let mut line = serde_json::to_vec(&event).unwrap_or_default();
            line.push(b'\n');
            // A record that silently stops would let a checker pass over a doubled run.
            file.write_all(&line).expect("the record's file must stay writable");
        }
        inner.events.push(event);
    }

    /// Returns a copy of all events so far.
    pub fn events(&self) -> Vec<T> {
        self.lock().events.clone()
    }

    fn lock(&self) -> MutexGuard<'_, Inner<T>> {
        self.inner.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
