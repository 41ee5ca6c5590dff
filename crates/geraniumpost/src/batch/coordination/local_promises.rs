use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Mutex, MutexGuard, PoisonError};

use geraniumpost_batch::TermTime;
use geraniumpost_batch::quorum::Promises;
use geraniumpost_schema::Name;

use super::super::BootClock;

/// The promises of this process to support coordinators. Shared by the relay, which makes them, and
/// by the peer listener and the release requester, which release them.
#[derive(Debug)]
pub struct LocalPromises {
    node: Name,
    incarnation: u64,
    promises: Mutex<Promises>,
    is_stopping: AtomicBool,
}

impl LocalPromises {
    /// Returns the state of an entry that has made no promise yet.
    pub fn new(node: Name, incarnation: u64) -> Self {
        Self { node, incarnation, promises: Mutex::default(), is_stopping: AtomicBool::new(false) }
    }

    /// Returns the name of this entry.
    pub const fn node(&self) -> &Name {
        &self.node
    }

    /// Returns the random number that identifies this process.
    pub const fn incarnation(&self) -> u64 {
        self.incarnation
    }

    /// Records that the process was asked to stop.
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

    /// Promises support to the coordinator that sent a pong at `sent`, which arrived at
    /// `received_ms` on the boot clock. Returns the time to echo in the next ping, or `None` if a
    /// successor has requested the release of earlier terms.
    pub fn promise_support(&self, sent: TermTime, received_ms: u64) -> Option<TermTime> {
        self.lock().promise(sent.term, received_ms).then_some(sent)
    }

    /// Withdraws support from all coordinators before `term`. Returns for how many milliseconds
    /// they may still rely on earlier promises of this entry.
    pub fn release(&self, term: u64) -> u64 {
        self.lock().release(term, BootClock.now_ms())
    }
}
