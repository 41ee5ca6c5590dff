use std::collections::VecDeque;

use geraniumpost_schema::Name;

/// Departures that are remembered at most. One minion leaves a VM in minutes; this is for a minion that
/// starts anew all the time while nobody coordinates.
const MOST: usize = 16;

/// Minions that have left this VM, until a coordinator has recorded it.
///
/// What ran on a minion ends with it, and its agent may be the only process that knows. A word that is
/// said once is lost if there is no link at that moment, or if the coordinator that hears it is lost
/// itself; the next coordinator then waits for a lease that nobody holds, and users miss standing tasks
/// for as long. So the word is kept, and said on every link, until a coordinator says that its records
/// hold it.
#[derive(Debug, Default)]
pub struct Departures {
    /// Minions that have said their farewell and may still be ending.
    leaving: Vec<Name>,
    /// Minions that are gone, the latest last.
    gone: VecDeque<Name>,
}

impl Departures {
    /// Takes note that a minion has said its farewell.
    pub fn record_leaving(&mut self, minion: &Name) {
        if !self.leaving.contains(minion) {
            self.leaving.push(minion.clone());
        }
    }

    /// Takes note that a minion is gone.
    pub fn record_terminated(&mut self, minion: &Name) {
        self.remove(minion);
        if self.gone.len() == MOST {
            self.gone.pop_front();
        }
        self.gone.push_back(minion.clone());
    }

    /// Takes note that the records hold a departure, or that the minion answers all the same.
    pub fn remove(&mut self, minion: &Name) {
        self.leaving.retain(|leaving| leaving != minion);
        self.gone.retain(|gone| gone != minion);
    }

    /// Returns the minions that are gone, in the order in which they went.
    pub fn unrecorded(&self) -> impl Iterator<Item = &Name> {
        self.gone.iter()
    }

    /// Returns whether nothing is left to tell.
    pub fn is_empty(&self) -> bool {
        self.leaving.is_empty() && self.gone.is_empty()
    }
}
