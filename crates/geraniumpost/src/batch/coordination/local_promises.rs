use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Mutex, MutexGuard, PoisonError};

use geraniumpost_batch::TermTime;
use geraniumpost_batch::quorum::Promises;
use geraniumpost_schema::Name;

use super::super::BootClock;

/// The promises of this process to support coordinators. The relay makes promises; the peer
/// listener and the release requester withdraw support.
#[derive(Debug)]
pub struct LocalPromises {
    node: Name,
    incarnation: u64,
    promises: Mutex<Promises>,
    is_stopping: AtomicBool,
}

impl LocalPromises {
    /// Returns the state of an entry that has not made a promise yet.
    pub fn new(node: Name, incarnation: u64) -> Self {
        Self { node, incarnation, promises: Mutex::default(), is_stopping: AtomicBool::new(false) }
    }

    /// Returns the name under which this entry promises support.
    pub const fn node(&self) -> &Name {
        &self.node
    }

    /// Returns the random number that distinguishes this process from earlier ones of the entry.
    pub const fn incarnation(&self) -> u64 {
        self.incarnation
    }

    /// Records that the process was asked to stop; the next pings report this to the coordinator.
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

    /// Promises support to the coordinator whose pong was sent at `sent` and received at
    /// `received_ms` on the monotonic clock. Returns the time to echo in the next ping, or `None`
    /// if a successor has requested the release of promises to that term.
    pub fn promise_support(&self, sent: TermTime, received_ms: u64) -> Option<TermTime> {
        self.lock().promise(sent.term, received_ms).then_some(sent)
    }

    /// Withdraws support from the coordinators of all terms before `term`. Returns for how many
    /// milliseconds those coordinators may still rely on earlier promises of this entry.
    pub fn release(&self, term: u64) -> u64 {
        self.lock().release(term, BootClock.now_ms())
    }
}
