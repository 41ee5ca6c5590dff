use geraniumpost_schema::RequestId;

/// Where an attempt stands.
#[derive(Debug)]
pub(super) enum AttemptState<A> {
    /// It does not run and never will.
    Barred,
    /// It waits for a slot.
    Queued,
    /// It is on the minion.
    Running,
    /// It left the minion; the answer may have been dropped since.
    Finished(Option<A>),
    /// It takes the answer of another attempt with the same key.
    Joined(RequestId),
    /// It repeats one that may have run and is no longer on record, so it does not run.
    Doubtful,
}

/// What an agent remembers of one attempt.
#[derive(Debug)]
pub(super) struct AttemptRecord<A> {
    pub(super) state: AttemptState<A>,
    pub(super) joined: Vec<RequestId>,
}

impl<A> AttemptRecord<A> {
    pub(super) const fn new(state: AttemptState<A>) -> Self {
        Self { state, joined: Vec::new() }
    }

    /// Whether the attempt may still change.
    pub(super) const fn is_active(&self) -> bool {
        matches!(self.state, AttemptState::Queued | AttemptState::Running)
    }
}
