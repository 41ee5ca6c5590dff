use super::{Change, ChangeAction, ChangeEvent, ChangeOutcome, StoredDocument};

/// Maximum number of store calls. After that, the outcome is `Unavailable` or `Uncertain`.
const MAX_CALLS: u32 = 8;

/// State machine that commits one change to the store exactly once, or reports why it was not
/// committed.
///
/// A response can be lost after the write took effect, and the write may even take effect after the
/// loss was noticed. An operator who received an error for such a change would repeat it and
/// overwrite a colleague's change. Therefore the value is read back after a lost response. Of all
/// changes based on one revision only one can be in the store, and the list of changes in the
/// stored value identifies it. See `docs/design/0401-configuration.md`.
#[derive(Debug, Clone)]
pub struct ChangeProtocol {
    change: Change,
    calls: u32,
    /// Whether the last call was a write.
    writing: bool,
    /// Whether the response to a write was lost.
    in_doubt: bool,
}

impl ChangeProtocol {
    /// Creates the protocol in its initial state; [`Self::begin`] returns the first store call.
    pub const fn new(change: Change) -> Self {
        Self { change, calls: 0, writing: false, in_doubt: false }
    }

    /// Returns the first action, a read of the stored value.
    pub fn begin(&mut self) -> ChangeAction {
        self.begin_call(ChangeAction::Read)
    }

    /// Handles the result of the last store call and returns the next action.
    pub fn handle(&mut self, event: ChangeEvent) -> ChangeAction {
        match event {
            ChangeEvent::Read(current) => self.on_read(current),
            ChangeEvent::Written(revision) => {
                ChangeAction::Done(ChangeOutcome::Committed { revision })
            }
            ChangeEvent::Conflict | ChangeEvent::Failed => self.begin_call(ChangeAction::Read),
            ChangeEvent::Lost => {
                self.in_doubt |= self.writing;
                self.begin_call(ChangeAction::Read)
            }
        }
    }

    fn on_read(&mut self, current: Option<(u64, StoredDocument)>) -> ChangeAction {
        let revision = current.as_ref().map_or(0, |(revision, _)| *revision);
        let stored = current.as_ref().map(|(_, stored)| stored);
        if revision == self.change.based_on {
            let value = StoredDocument::from_change(stored, &self.change);
            return self.begin_call(ChangeAction::Write { expected: revision, value });
        }
        match stored.and_then(|stored| stored.changes_since(self.change.based_on)) {
            Some(changes) => ChangeAction::Done(self.outcome(revision, changes)),
            // The value was removed or the list is too short, so the outcome cannot be determined.
            None => ChangeAction::Done(ChangeOutcome::Uncertain),
        }
    }

    /// Determines whether the operator's change was committed, from the list of changes made since
    /// its base revision.
    fn outcome(&self, revision: u64, changes: &[super::PastChange]) -> ChangeOutcome {
        let Some((first, later)) = changes.split_last() else {
            return ChangeOutcome::Uncertain;
        };
        if first.change_id != self.change.change_id {
            return ChangeOutcome::Conflict { revision, changes: changes.to_vec() };
        }
        let committed_at = later.last().map_or(revision, |next| next.based_on);
        ChangeOutcome::Committed { revision: committed_at }
    }

    fn begin_call(&mut self, action: ChangeAction) -> ChangeAction {
        if self.calls == MAX_CALLS {
            let outcome =
                if self.in_doubt { ChangeOutcome::Uncertain } else { ChangeOutcome::Unavailable };
            return ChangeAction::Done(outcome);
        }
        self.calls += 1;
        self.writing = matches!(action, ChangeAction::Write { .. });
        action
    }
}
