use geraniumpost_schema::Name;
use serde::{Deserialize, Serialize};
use serde_json::Value;

use super::{Change, PastChange, differing_paths};

/// Maximum number of changes listed in the stored value.
///
/// After a lost response the protocol searches this list for its own change. A conflict can be
/// proven only while the list reaches back to the operator's revision. This is more than the
/// changes of a day.
const MAX_CHANGES: usize = 300;
/// Number of latest changes that keep their paths. Older changes keep only their id, operator and
/// base revision.
const MAX_CHANGES_WITH_PATHS: usize = 32;
/// Maximum number of paths recorded for a change; further paths are omitted.
const MAX_PATHS: usize = 12;

/// The stored value of the configuration key.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct StoredDocument {
    /// The latest changes, starting with the change that wrote this value.
    pub changes: Vec<PastChange>,
    /// The complete configuration document, in force once processes adopt its revision.
    pub document: Value,
}

impl StoredDocument {
    /// Creates the value that `change` writes in place of `current`.
    #[must_use]
    pub fn from_change(current: Option<&Self>, change: &Change) -> Self {
        let before = current.map_or(&Value::Null, |current| &current.document);
        let mut paths = differing_paths(before, &change.document);
        paths.truncate(MAX_PATHS);
        let entry = PastChange {
            change_id: change.change_id.clone(),
            changed_by: change.changed_by.clone(),
            based_on: change.based_on,
            paths: paths.into_iter().map(Name::from).collect(),
        };
        let past = current.into_iter().flat_map(|current| &current.changes);
        let mut changes: Vec<_> =
            std::iter::once(entry).chain(past.cloned()).take(MAX_CHANGES).collect();
        changes.iter_mut().skip(MAX_CHANGES_WITH_PATHS).for_each(|change| change.paths.clear());
        Self { changes, document: change.document.clone() }
    }

    /// Returns the id of the change that wrote this value, empty if none is listed.
    pub fn change_id(&self) -> Name {
        self.changes.first().map(|change| change.change_id.clone()).unwrap_or_default()
    }

    /// Returns the changes after revision `based_on`, latest first.
    ///
    /// Returns `None` if the list does not reach back to that revision.
    pub fn changes_since(&self, based_on: u64) -> Option<&[PastChange]> {
        let oldest = self.changes.iter().position(|change| change.based_on == based_on)?;
        Some(&self.changes[..=oldest])
    }
}
