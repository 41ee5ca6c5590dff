use std::sync::{Mutex, MutexGuard, PoisonError};

use geraniumpost_batch::TermTime;
use geraniumpost_batch::quorum::{Support, Voters};
use geraniumpost_schema::Name;

use super::super::BootClock;

/// The support of one term, shared by the links that hear promises, the decisions that rest on them, and
/// the writer that names the voters in the key.
#[derive(Debug)]
pub struct TermSupport {
    /// The entry that coordinates; its own support goes without saying.
    local_node: Name,
    term: u64,
    support: Mutex<Support>,
}

impl TermSupport {
    /// Returns the support of a term that begins now, whose key names these voters.
    pub fn new(local_node: Name, term: u64, voters: Voters) -> Self {
        Self { local_node, term, support: Mutex::new(Support::new(voters, BootClock.now_ms())) }
    }

    fn lock(&self) -> MutexGuard<'_, Support> {
        self.support.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Returns the present time, to be sent with a pong.
    pub fn pong_time(&self) -> TermTime {
        TermTime { term: self.term, steady_ms: BootClock.now_ms() }
    }

    /// Takes note that an entry sends the time of a pong back, and with it a promise.
    pub fn record_promise(&self, node: &Name, incarnation: u64, sent: TermTime) {
        if sent.term == self.term && *node != self.local_node {
            self.lock().record_promise(node, incarnation, sent.steady_ms);
        }
    }

    /// Takes note that an entry is about to stop.
    pub fn mark_stopping(&self, node: &Name) {
        self.lock().mark_stopping(node);
    }

    /// Returns for how long an entry has not answered, if it ever did in this term.
    pub fn silent_ms(&self, node: &Name) -> Option<u64> {
        self.lock().silent_ms(node, BootClock.now_ms())
    }

    /// Returns until when a majority supports the term, on the boot clock, and how many other entries do now.
    pub fn current(&self) -> (u64, usize) {
        let support = self.lock();
        (support.supported_until_ms(), support.supporter_count(BootClock.now_ms()))
    }

    /// Returns the voters that the key should name, if it names others.
    pub fn voters_to_write(&self) -> Option<Voters> {
        self.lock().voters_to_write(BootClock.now_ms())
    }

    /// Takes note that the key is about to name other voters.
    pub fn begin_voter_change(&self, voters: Voters) {
        self.lock().begin_voter_change(voters, BootClock.now_ms());
    }

    /// Takes note that the key names them.
    pub fn complete_voter_change(&self) {
        self.lock().complete_voter_change();
    }
}
