/// Limits on the attempts, answers and keys that the [`super::AttemptLedger`] of an agent keeps.
///
/// The ledger never guesses about records that it has dropped: a query about a dropped record gets
/// the reply "unknown", which is reported to the caller. With lower limits more outcomes are
/// unknown, but no request runs a second time.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct LedgerLimits {
    pub(super) answers: usize,
    pub(super) answer_bytes: usize,
    pub(super) answer_ms: u64,
    pub(super) records: usize,
    pub(super) keys: usize,
    pub(super) expired_keys: usize,
}

impl LedgerLimits {
    /// Returns the defaults, which bound the memory to about 20 MB: answers of the last two minutes
    /// (at most 4,096 answers and 8 MiB), the last 16,384 ended attempts, 8,192 keys, and digests
    /// of 65,536 more keys.
    pub const fn new() -> Self {
        Self {
            answers: 4_096,
            answer_bytes: 8 << 20,
            answer_ms: 120_000,
            records: 16_384,
            keys: 8_192,
            expired_keys: 65_536,
        }
    }

    /// Sets the maximum number of kept answers, their total size in bytes, and the time for which
    /// they are kept.
    #[must_use]
    pub const fn answers(mut self, count: usize, bytes: usize, ms: u64) -> Self {
        self.answers = count;
        self.answer_bytes = bytes;
        self.answer_ms = ms;
        self
    }

    /// Sets how many ended attempts are remembered, with or without their answers.
    #[must_use]
    pub const fn records(mut self, records: usize) -> Self {
        self.records = records;
        self
    }

    /// Sets how many idempotency keys are remembered with their first attempts, and how many
    /// `expired` keys are remembered only as used.
    #[must_use]
    pub const fn keys(mut self, keys: usize, expired: usize) -> Self {
        self.keys = keys;
        self.expired_keys = expired;
        self
    }
}

impl Default for LedgerLimits {
    fn default() -> Self {
        Self::new()
    }
}
