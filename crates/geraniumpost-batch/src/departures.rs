use std::collections::{BTreeSet, VecDeque};

use geraniumpost_schema::Name;

/// Maximum number of recorded terminations. A VM rarely has more than one termination in several
/// minutes; the limit matters only if a minion restarts continuously while there is no coordinator.
const MAX_TERMINATIONS: usize = 16;

/// Minion incarnations that terminate or have terminated on this VM, until a coordinator has
/// recorded their termination.
///
/// The tasks of a minion end with it, and its agent may be the only process that knows of their
/// end. A report that is sent only once is lost if the agent has no connection at that moment, or
/// if the coordinator fails before it has written its records. The next coordinator then waits for
/// the expiry of a lease that no process holds, and persistent tasks are down meanwhile. The agent
/// therefore repeats the report on every connection until a coordinator confirms that the job
/// records contain the termination.
#[derive(Debug, Default)]
pub struct Departures {
    /// Minions that have announced their termination and may still be running.
    terminating: Vec<Name>,
    /// Minions that have terminated, the latest last.
    terminated: VecDeque<Name>,
    /// Those of `terminated` that had not announced their termination.
    crashed: BTreeSet<Name>,
}

impl Departures {
    /// Records that a minion has announced its termination and may still be running.
    pub fn record_termination_notice(&mut self, minion: &Name) {
        if !self.terminating.contains(minion) {
            self.terminating.push(minion.clone());
        }
    }

    /// Records that a minion has terminated. Drops the oldest termination if 16 are recorded
    /// already.
    pub fn record_terminated(&mut self, minion: &Name) {
        let crashed = self.has_crashed(minion);
        self.remove(minion);
        if self.terminated.len() == MAX_TERMINATIONS
            && let Some(oldest) = self.terminated.pop_front()
        {
            self.crashed.remove(&oldest);
        }
        self.terminated.push_back(minion.clone());
        if crashed {
            self.crashed.insert(minion.clone());
        }
    }

    /// Records that another incarnation has replaced a minion. The minion has crashed unless it had
    /// announced its termination, by a notice or as `draining`.
    pub fn record_replaced(&mut self, minion: &Name, draining: bool) {
        let announced = draining || self.terminating.contains(minion);
        self.record_terminated(minion);
        if !announced {
            self.crashed.insert(minion.clone());
        }
    }

    /// Returns whether a terminated minion had not announced its termination.
    pub fn has_crashed(&self, minion: &Name) -> bool {
        self.crashed.contains(minion)
    }

    /// Removes a minion, either because the job records hold its termination or because the minion
    /// responds after all.
    pub fn remove(&mut self, minion: &Name) {
        self.terminating.retain(|terminating| terminating != minion);
        self.terminated.retain(|terminated| terminated != minion);
        self.crashed.remove(minion);
    }

    /// Returns the terminated minions in the order of their termination.
    pub fn unrecorded_terminations(&self) -> impl Iterator<Item = &Name> {
        self.terminated.iter()
    }

    /// Returns whether no minion is terminating and no termination is left to report.
    pub fn is_empty(&self) -> bool {
        self.terminating.is_empty() && self.terminated.is_empty()
    }
}
