/// Bounds of what an agent remembers of attempts.
///
/// What is forgotten is never guessed: a question about it is answered "unknown", which the caller
/// is told as such. So smaller bounds cost certainty, never a second run.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct LedgerLimits {
    pub(super) answers: usize,
    pub(super) answer_bytes: usize,
    pub(super) answer_ms: u64,
    pub(super) records: usize,
    pub(super) keys: usize,
    pub(super) faded_keys: usize,
}

impl LedgerLimits {
    /// Returns bounds of some 20 MB at most: two minutes of answers (8 MB), the last 16,384 attempts,
    /// 8,192 keys, and of 65,536 more keys that they came.
    pub const fn new() -> Self {
        Self {
            answers: 4_096,
            answer_bytes: 8 << 20,
            answer_ms: 120_000,
            records: 16_384,
            keys: 8_192,
            faded_keys: 65_536,
        }
    }

    /// Sets how many answers are kept, of how many bytes together, and for how long.
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

    /// Sets how many idempotency keys are remembered with their attempts, and of how many more it is
    /// remembered that they came.
    #[must_use]
    pub const fn keys(mut self, keys: usize, faded: usize) -> Self {
        self.keys = keys;
        self.faded_keys = faded;
        self
    }
}

impl Default for LedgerLimits {
    fn default() -> Self {
        Self::new()
    }
}
