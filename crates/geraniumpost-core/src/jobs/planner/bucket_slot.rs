use super::Effect;
use crate::{Millis, jobs::Bucket};

/// State of a bucket's store calls.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum BucketStage {
    /// No call is open and the stored value is known.
    Ready,
    /// No call is open and the stored value must be read first.
    Unknown,
    /// A read is open.
    Reading,
    /// A commit is open.
    Writing,
}

/// A bucket with the state of its group commit.
#[derive(Debug, Clone)]
pub(super) struct BucketSlot {
    pub(super) bucket: Bucket,
    pub(super) stage: BucketStage,
    /// Revision of the stored value, `None` if it is absent.
    pub(super) revision: Option<u64>,
    /// Sequence number of the last commit sent.
    pub(super) sequence: u64,
    /// Whether a commit of this planner's term is known to be in the store. From then on no write
    /// of an earlier planner can succeed, because no earlier planner knows the new revision.
    pub(super) fenced: bool,
    pub(super) dirty: bool,
    pub(super) checkpoint_since: Option<Millis>,
    pub(super) last_call: Millis,
    /// Effects that belong to the next commit.
    pub(super) queued: Vec<Effect>,
    /// Effects to be applied when the open commit is known to have taken effect.
    pub(super) committing: Vec<Effect>,
}

impl BucketSlot {
    pub(super) fn new() -> Self {
        Self {
            bucket: Bucket::default(),
            stage: BucketStage::Unknown,
            revision: None,
            sequence: 0,
            fenced: false,
            dirty: false,
            checkpoint_since: None,
            last_call: Millis(0),
            queued: Vec::new(),
            committing: Vec::new(),
        }
    }

    /// Returns whether the store contains the bucket's current state, except for newer checkpoints.
    pub(super) fn is_committed(&self) -> bool {
        self.fenced && !self.dirty && self.stage == BucketStage::Ready
    }

    /// Returns whether a commit is due: a change was made, or a checkpoint has waited for its
    /// maximum delay. Commits after the first of the term also wait for the minimum interval.
    pub(super) fn is_due(
        &self,
        now: Millis,
        commit_interval_ms: u64,
        max_checkpoint_delay_ms: u64,
    ) -> bool {
        let checkpoint_due =
            self.checkpoint_since.is_some_and(|since| now.since(since) >= max_checkpoint_delay_ms);
        let paced = !self.fenced || now.since(self.last_call) >= commit_interval_ms;
        self.stage == BucketStage::Ready && (self.dirty || checkpoint_due) && paced
    }

    /// Moves the effects of a commit that did not take effect to the front of the queue for the
    /// next commit, and makes that commit due.
    pub(super) fn requeue_effects(&mut self) {
        let mut effects = std::mem::take(&mut self.committing);
        effects.append(&mut self.queued);
        self.queued = effects;
        self.dirty = true;
    }
}
