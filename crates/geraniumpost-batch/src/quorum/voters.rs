use std::collections::BTreeMap;

use geraniumpost_schema::Name;
use serde::{Deserialize, Serialize};

/// The entries, other than the coordinator, whose promises count in one term of the coordinator.
///
/// Each entry is listed with its incarnation, because a restarted process does not know the
/// promises of the process before it. The coordinator writes the voters into its key, and a
/// successor counts the same entries even if entries have joined or left since.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Voters(BTreeMap<Name, u64>);

impl Voters {
    /// Returns whether this incarnation of an entry is a voter.
    pub fn contains(&self, entry: &Name, incarnation: u64) -> bool {
        self.0.get(entry) == Some(&incarnation)
    }

    /// Returns the incarnation of a voter, or `None` if the entry is not a voter.
    pub fn incarnation(&self, entry: &Name) -> Option<u64> {
        self.0.get(entry).copied()
    }

    /// Returns these voters except for one entry.
    #[must_use]
    pub fn without(mut self, entry: &Name) -> Self {
        self.0.remove(entry);
        self
    }

    /// Returns the names of the voters, in ascending order.
    pub fn names(&self) -> impl Iterator<Item = &Name> {
        self.0.keys()
    }

    /// Returns the number of voters, which do not include the coordinator.
    pub fn len(&self) -> usize {
        self.0.len()
    }

    /// Returns whether there are no voters. The coordinator then needs no support by other entries.
    pub fn is_empty(&self) -> bool {
        self.0.is_empty()
    }

    /// Returns the number of voters that form a majority together with the coordinator.
    pub fn needed_to_support(&self) -> usize {
        self.0.len().div_ceil(2)
    }

    /// Returns the number of voters whose releases prevent a majority with the coordinator. Without
    /// voters the number is 1, which can never be reached.
    pub fn needed_to_release(&self) -> usize {
        self.0.len() + 1 - self.needed_to_support()
    }
}

impl FromIterator<(Name, u64)> for Voters {
    fn from_iter<T: IntoIterator<Item = (Name, u64)>>(entries: T) -> Self {
        Self(entries.into_iter().collect())
    }
}
