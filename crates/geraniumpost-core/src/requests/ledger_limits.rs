/// Limits on the attempts, answers and keys that an agent remembers.
///
/// The ledger never guesses about what it has dropped: a query about it is answered "unknown", and
/// the caller is told so. Lower limits therefore reduce certainty and never cause a second run.
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
    /// Returns limits that bound the memory to about 20 MB: answers of the last two minutes (8 MB),
    /// the last 16,384 attempts, 8,192 keys, and digests of 65,536 more keys.
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

    /// Sets how many idempotency keys are remembered with their attempts, and for how many more it
    /// is remembered only that they were used.
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
