use geraniumpost_schema::RequestId;

/// Whether an attempt waits, runs or has ended, or why it does not run.
#[derive(Debug)]
pub(super) enum AttemptState<A> {
    /// The attempt does not run and never will.
    Barred,
    /// The attempt waits for a slot.
    Queued,
    /// The attempt is running on the minion.
    Running,
    /// The attempt has ended; the answer is `None` once it is no longer kept.
    Finished(Option<A>),
    /// The attempt gets the answer of another attempt with the same key.
    Joined(RequestId),
    /// The key has been used by an attempt that may have run and is no longer recorded, so this
    /// attempt does not run.
    KeyExpired,
}

/// State of an attempt, and the attempts with the same key that wait for its answer.
#[derive(Debug)]
pub(super) struct AttemptRecord<A> {
    pub(super) state: AttemptState<A>,
    pub(super) joined: Vec<RequestId>,
}

impl<A> AttemptRecord<A> {
    pub(super) const fn new(state: AttemptState<A>) -> Self {
        Self { state, joined: Vec::new() }
    }

    /// Whether the attempt waits for a slot or runs.
    pub(super) const fn is_active(&self) -> bool {
        matches!(self.state, AttemptState::Queued | AttemptState::Running)
    }
}
