use geraniumpost_schema::RequestId;

/// Decision of the [`super::AttemptLedger`] on an arriving attempt.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Admission<A> {
    /// The attempt is recorded as waiting and is to be offered to the queue.
    Queue,
    /// The attempt with this id has the same key and waits or runs. Its answer also answers this
    /// attempt, whose id [`super::AttemptLedger::finish`] will return.
    Join(RequestId),
    /// An attempt with the same key has run with this answer.
    Replay(A),
    /// An attempt with the same key has run, and its answer is no longer kept.
    AnswerLost,
    /// The attempt is already recorded and is answered through its first copy. No action is needed.
    Duplicate,
    /// A query barred the attempt or its key before the attempt arrived. It does not run on this
    /// agent.
    Barred,
    /// The attempt, or another with its key, may have run and been dropped from the ledger. It does
    /// not run.
    Forgotten,
}
