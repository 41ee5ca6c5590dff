use std::fs::{File, OpenOptions};
use std::io::Write;
use std::path::Path;
use std::sync::{Mutex, MutexGuard, PoisonError};

use eyre::{Result, WrapErr};
use serde::Serialize;

/// An append-only record of events, in memory and optionally in a file.
///
/// The file remains if the stand-in is killed, so that a checker can still read the earlier events.
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
    /// Opens a journal. Each event is also appended to the file `path`, if given, as a JSON line.
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
            // With events missing, a checker would not detect a request or task that ran twice.
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
