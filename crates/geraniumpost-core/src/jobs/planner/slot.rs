use super::Effect;
use crate::{Millis, jobs::Bucket};

/// The store call that a bucket has open.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Stage {
    /// None, and the store's value is known.
    Ready,
    /// None, but the store's value has to be read first.
    Unknown,
    /// A read.
    Reading,
    /// A commit.
    Writing,
}

/// One bucket with its place in the group commit.
#[derive(Debug, Clone)]
pub(super) struct Slot {
    pub(super) bucket: Bucket,
    pub(super) stage: Stage,
    /// Revision of the store's value, none if it is absent.
    pub(super) revision: Option<u64>,
    /// Number of the last commit sent.
    pub(super) sequence: u64,
    /// Whether a commit under this planner's term is known to be in the store. From then on no
    /// earlier planner's write can succeed, as none knows the revision.
    pub(super) fenced: bool,
    pub(super) dirty: bool,
    pub(super) lazy_since: Option<Millis>,
    pub(super) last_call: Millis,
    /// Released by the next commit that is sent.
    pub(super) waiting: Vec<Effect>,
    /// Released when the open commit is known to have taken effect.
    pub(super) flying: Vec<Effect>,
}

impl Slot {
    pub(super) fn new() -> Self {
        Self {
            bucket: Bucket::default(),
            stage: Stage::Unknown,
            revision: None,
            sequence: 0,
            fenced: false,
            dirty: false,
            lazy_since: None,
            last_call: Millis(0),
            waiting: Vec::new(),
            flying: Vec::new(),
        }
    }

    /// Returns whether the store has all that the bucket holds, but for newer checkpoints.
    pub(super) fn is_committed(&self) -> bool {
        self.fenced && !self.dirty && self.stage == Stage::Ready
    }

    /// Returns whether a commit is due.
    pub(super) fn is_due(&self, now: Millis, commit_ms: u64, lazy_ms: u64) -> bool {
        let lazy = self.lazy_since.is_some_and(|since| now.since(since) >= lazy_ms);
        let paced = !self.fenced || now.since(self.last_call) >= commit_ms;
        self.stage == Stage::Ready && (self.dirty || lazy) && paced
    }

    /// Puts what an unfinished commit carried back in front of the next one.
    pub(super) fn take_back(&mut self) {
        let mut effects = std::mem::take(&mut self.flying);
        effects.append(&mut self.waiting);
        self.waiting = effects;
        self.dirty = true;
    }
}
