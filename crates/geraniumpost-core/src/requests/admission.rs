use geraniumpost_schema::RequestId;

/// What the [`super::AttemptLedger`] says to an attempt that arrives.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Admission<A> {
    /// Offer it to the queue; it is on record as waiting.
    Queue,
    /// Another attempt with the same key waits or runs; its answer is this one's, too, and
    /// [`super::AttemptLedger::finish`] will name this attempt.
    Join(RequestId),
    /// Another attempt with the same key ran, and this is its answer.
    Replay(A),
    /// Another attempt with the same key ran, and its answer is not kept any more.
    AnswerLost,
    /// The attempt is on record already; its answer goes its way, and nothing is to be done.
    Duplicate,
    /// A question barred the attempt before it arrived, or its key: it does not run here.
    Barred,
    /// So many attempts came since that this one, or another with its key, may have run and been
    /// forgotten: it does not run.
    Forgotten,
}
