use super::{Change, ChangeAction, ChangeEvent, ChangeOutcome, StoredDocument};

/// Calls to the store after which a change is given up.
const CALLS: u32 = 8;

/// Carries one change into the store exactly once, or says truly why not.
///
/// A reply can be lost after the write has taken effect, and the write may even take effect after
/// the loss was noticed. An operator told "failed" would repeat the change over a colleague's. So a
/// lost reply is settled by reading the value back: of all changes based on one revision only one
/// can be in the store, and the list of changes in the stored value tells which. See
/// `docs/design/0401-configuration.md`.
#[derive(Debug, Clone)]
pub struct ChangeProtocol {
    change: Change,
    calls: u32,
    /// Whether the last call was a write.
    writing: bool,
    /// Whether the reply of a write was lost.
    in_doubt: bool,
}

impl ChangeProtocol {
    /// Creates the protocol of one change.
    pub const fn new(change: Change) -> Self {
        Self { change, calls: 0, writing: false, in_doubt: false }
    }

    /// Returns the first thing to do.
    pub fn begin(&mut self) -> ChangeAction {
        self.call(ChangeAction::Read)
    }

    /// Takes the store's answer to the last call and returns what to do next.
    pub fn handle(&mut self, event: ChangeEvent) -> ChangeAction {
        match event {
            ChangeEvent::Read(current) => self.read(current),
            ChangeEvent::Written(revision) => {
                ChangeAction::Done(ChangeOutcome::Committed { revision })
            }
            ChangeEvent::Conflict | ChangeEvent::Failed => self.call(ChangeAction::Read),
            ChangeEvent::Lost => {
                self.in_doubt |= self.writing;
                self.call(ChangeAction::Read)
            }
        }
    }

    fn read(&mut self, current: Option<(u64, StoredDocument)>) -> ChangeAction {
        let revision = current.as_ref().map_or(0, |(revision, _)| *revision);
        let stored = current.as_ref().map(|(_, stored)| stored);
        if revision == self.change.based_on {
            let value = StoredDocument::from_change(stored, &self.change);
            return self.call(ChangeAction::Write { expected: revision, value });
        }
        match stored.and_then(|stored| stored.changes_since(self.change.based_on)) {
            Some(changes) => ChangeAction::Done(self.settled(revision, changes)),
            // The value was removed, or the list is too short: nothing proves either way.
            None => ChangeAction::Done(ChangeOutcome::Uncertain),
        }
    }

    /// Tells from the changes since the operator's revision whether this one won.
    fn settled(&self, revision: u64, changes: &[super::PastChange]) -> ChangeOutcome {
        let Some((first, later)) = changes.split_last() else {
            return ChangeOutcome::Uncertain;
        };
        if first.change_id != self.change.change_id {
            return ChangeOutcome::Conflict { revision, changes: changes.to_vec() };
        }
        let became = later.last().map_or(revision, |next| next.based_on);
        ChangeOutcome::Committed { revision: became }
    }

    fn call(&mut self, action: ChangeAction) -> ChangeAction {
        if self.calls == CALLS {
            let outcome =
                if self.in_doubt { ChangeOutcome::Uncertain } else { ChangeOutcome::Unavailable };
            return ChangeAction::Done(outcome);
        }
        self.calls += 1;
        self.writing = matches!(action, ChangeAction::Write { .. });
        action
    }
}
