use geraniumpost_schema::RequestId;

/// What an agent knows of an idempotency key.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum KeyStanding {
    /// It certainly never came.
    New,
    /// This attempt runs, ran or was barred for it.
    First(RequestId),
    /// It came once; what became of it is no longer on record.
    Faded,
    /// It did not come of late, and may have come before.
    Forgotten,
}
