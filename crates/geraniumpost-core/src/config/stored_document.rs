use geraniumpost_schema::Name;
use serde::{Deserialize, Serialize};
use serde_json::Value;

use super::{Change, PastChange, differing_paths};

/// Changes that the stored value remembers.
///
/// A lost reply is settled by finding one's own change in this list, and a conflict is certain only
/// while the list reaches back to the operator's revision. This is more than a day's changes.
const REMEMBERED: usize = 300;
/// Latest changes whose paths are kept; of the older ones only who made them is.
const DETAILED: usize = 32;
/// Paths noted for a change; a larger change is told by its first ones.
const PATHS: usize = 12;

/// Value under which the configuration is kept in the store.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct StoredDocument {
    /// The latest changes, the one that wrote this value first.
    pub changes: Vec<PastChange>,
    /// The configuration document.
    pub document: Value,
}

impl StoredDocument {
    /// Creates the value that `change` writes in place of `current`.
    #[must_use]
    pub fn from_change(current: Option<&Self>, change: &Change) -> Self {
        let before = current.map_or(&Value::Null, |current| &current.document);
        let mut paths = differing_paths(before, &change.document);
        paths.truncate(PATHS);
        let note = PastChange {
            change_id: change.change_id.clone(),
            changed_by: change.changed_by.clone(),
            based_on: change.based_on,
            paths: paths.into_iter().map(Name::from).collect(),
        };
        let past = current.into_iter().flat_map(|current| &current.changes);
        let mut changes: Vec<_> =
            std::iter::once(note).chain(past.cloned()).take(REMEMBERED).collect();
        changes.iter_mut().skip(DETAILED).for_each(|change| change.paths.clear());
        Self { changes, document: change.document.clone() }
    }

    /// Returns the id of the change that wrote this value.
    pub fn change_id(&self) -> Name {
        self.changes.first().map(|change| change.change_id.clone()).unwrap_or_default()
    }

    /// Returns the changes that came after revision `based_on`, the latest first.
    ///
    /// `None` if the list does not reach back so far.
    pub fn changes_since(&self, based_on: u64) -> Option<&[PastChange]> {
        let oldest = self.changes.iter().position(|change| change.based_on == based_on)?;
        Some(&self.changes[..=oldest])
    }
}
