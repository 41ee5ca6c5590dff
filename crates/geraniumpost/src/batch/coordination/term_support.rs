use std::sync::{Mutex, MutexGuard, PoisonError};

use geraniumpost_batch::TermTime;
use geraniumpost_batch::quorum::{Support, Voters};
use geraniumpost_schema::Name;

use super::super::BootClock;

/// The support of one term by other entries. The links record promises, the driver extends leases
/// only while a majority supports the term, and the writer records the voters in the coordinator's
/// key.
#[derive(Debug)]
pub struct TermSupport {
    /// The entry that coordinates, whose own promises are not recorded.
    local_node: Name,
    term: u64,
    support: Mutex<Support>,
}

impl TermSupport {
    /// Returns the support of a term that begins now, with the voters in the coordinator's key.
    pub fn new(local_node: Name, term: u64, voters: Voters) -> Self {
        Self { local_node, term, support: Mutex::new(Support::new(voters, BootClock.now_ms())) }
    }

    fn lock(&self) -> MutexGuard<'_, Support> {
        self.support.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Returns the term and the present time, to be sent with a pong.
    pub fn pong_time(&self) -> TermTime {
        TermTime { term: self.term, steady_ms: BootClock.now_ms() }
    }

    /// Records that an entry has echoed the time of a pong, and thereby promised its support, and
    /// whether the entry is about to stop, in which case it is no longer proposed as a voter.
    /// Echoes of pongs of other terms are ignored.
    pub fn record_promise(&self, node: &Name, incarnation: u64, sent: TermTime, stopping: bool) {
        if sent.term != self.term || *node == self.local_node {
            return;
        }
        let mut support = self.lock();
        support.record_promise(node, incarnation, sent.steady_ms);
        if stopping {
            support.mark_stopping(node);
        }
    }

    /// Returns whether another entry can take over: it supports this term and is not stopping.
    pub fn has_candidate(&self) -> bool {
        self.lock().has_candidate(BootClock.now_ms())
    }

    /// Returns the age of the last pong that an entry has echoed, in milliseconds since the pong
    /// was sent; `None` if the entry has echoed no pong of this term.
    pub fn last_promise_age_ms(&self, node: &Name) -> Option<u64> {
        self.lock().last_promise_age_ms(node, BootClock.now_ms())
    }

    /// Returns the time until which a majority supports the term, on the monotonic clock, and the
    /// number of other entries that support it now.
    pub fn support_end_and_supporter_count(&self) -> (u64, usize) {
        let support = self.lock();
        (support.supported_until_ms(), support.supporter_count(BootClock.now_ms()))
    }

    /// Returns the voters to be written to the coordinator's key; `None` if no change is due.
    pub fn voters_to_write(&self) -> Option<Voters> {
        self.lock().voters_to_write(BootClock.now_ms())
    }

    /// Records that the key is about to be written with other voters.
    pub fn begin_voter_change(&self, voters: Voters) {
        self.lock().begin_voter_change(voters, BootClock.now_ms());
    }

    /// Records that the key was written with the voters of [`Self::begin_voter_change`], if any.
    pub fn complete_voter_change(&self) {
        self.lock().complete_voter_change();
    }
}
