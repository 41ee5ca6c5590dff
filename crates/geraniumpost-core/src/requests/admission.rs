use geraniumpost_schema::RequestId;

/// Decision of the [`super::AttemptLedger`] on an arriving attempt.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Admission<A> {
    /// The attempt is recorded as waiting and is to be offered to the queue.
    Queue,
    /// The attempt with this id has the same key and waits or runs. Its answer is also the answer
    /// to the new attempt, whose id [`super::AttemptLedger::finish`] returns.
    Join(RequestId),
    /// An attempt with the same key has ended with this answer, which is sent without another run.
    Replay(A),
    /// An attempt with the same key has run, and its answer is no longer kept.
    AnswerLost,
    /// The attempt is already recorded, because its message arrived twice. No action is needed: the
    /// entry gets one answer, to the first copy.
    Duplicate,
    /// A query barred the attempt or its key before the attempt arrived, or an earlier attempt with
    /// its key was refused or cancelled. The new attempt does not run on this agent.
    Barred,
    /// The attempt, or another attempt with its key, may have run, but the record has been dropped.
    /// The new attempt does not run.
    Forgotten,
}
