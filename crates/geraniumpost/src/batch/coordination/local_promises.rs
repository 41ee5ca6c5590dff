use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Mutex, MutexGuard, PoisonError};

use geraniumpost_batch::TermTime;
use geraniumpost_batch::quorum::Promises;
use geraniumpost_schema::Name;

use super::super::BootClock;

/// What this process has promised to coordinators, shared by those who promise and those who release.
#[derive(Debug)]
pub struct LocalPromises {
    node: Name,
    incarnation: u64,
    promises: Mutex<Promises>,
    is_stopping: AtomicBool,
}

impl LocalPromises {
    /// Returns that nothing is promised yet by an incarnation of an entry.
    pub fn new(node: Name, incarnation: u64) -> Self {
        Self { node, incarnation, promises: Mutex::default(), is_stopping: AtomicBool::new(false) }
    }

    /// Returns the entry's name.
    pub const fn node(&self) -> &Name {
        &self.node
    }

    /// Returns the random number of this process.
    pub const fn incarnation(&self) -> u64 {
        self.incarnation
    }

    /// Takes note that the process was asked to stop.
    pub fn set_stopping(&self) {
        self.is_stopping.store(true, Ordering::Relaxed);
    }

    /// Returns whether the process was asked to stop.
    pub fn is_stopping(&self) -> bool {
        self.is_stopping.load(Ordering::Relaxed)
    }

    fn lock(&self) -> MutexGuard<'_, Promises> {
        self.promises.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Promises support to the coordinator that sent a pong, heard at a time on the boot clock. Returns the time
    /// to send back with the next ping, unless a successor has asked for the support.
    pub fn support(&self, sent: TermTime, heard_ms: u64) -> Option<TermTime> {
        self.lock().promise(sent.term, heard_ms).then_some(sent)
    }

    /// Supports no coordinator of an earlier term any more. Returns for how many milliseconds they may still
    /// count on this entry.
    pub fn release(&self, term: u64) -> u64 {
        self.lock().release(term, BootClock.now_ms())
    }
}
