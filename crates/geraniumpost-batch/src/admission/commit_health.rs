/// Minimum age of an outstanding write from which the store counts as not committing, in
/// milliseconds: a third of the usual deadline of callers, so that a refused caller has the time to
/// try again. A fast store that suddenly takes 400 ms for each call answers the fence before that.
const MIN_OUTSTANDING_MS: u64 = 1_000;
/// Maximum age of an outstanding write up to which a slow store counts as committing, in
/// milliseconds. Callers with the usual deadline hardly hear of a later commit.
const MAX_OUTSTANDING_MS: u64 = 2_000;
/// Ratio of the age of an outstanding write to the store's response time up to which the store
/// counts as slow and not as unavailable. A write that is first sent with too short a timeout takes
/// three response times: the fence, the next attempt, and a read between them.
const RESPONSE_TIME_FACTOR: u64 = 4;
/// Minimum number of consecutive refused writes before the store counts as not committing.
const MIN_REFUSALS: u32 = 3;
/// Minimum time since the first of these refusals, in milliseconds: three pauses of 60 ms between
/// two attempts.
const MIN_REFUSED_MS: u64 = 180;

/// Whether the store commits the coordinator's writes. All times are on the monotonic clock.
///
/// The store counts as not committing once the oldest outstanding write is older than a bound, or
/// once several attempts in a row were refused. It counts as committing again with the next commit,
/// and not before: a store that answers reads may still refuse writes.
///
/// # Example
///
/// ```
/// use geraniumpost_batch::admission::CommitHealth;
///
/// let mut health = CommitHealth::new(0);
/// health.update(Some(0), 900);
/// assert!(health.is_committing());
/// health.update(Some(0), 1_100);
/// assert!(!health.is_committing());
/// assert_eq!(health.record_commit(1_300), Some(200));
/// assert!(health.is_committing());
/// ```
#[derive(Debug, Clone)]
pub struct CommitHealth {
    /// Recent response time of the store in milliseconds; rises at once and falls slowly.
    response_ms: u64,
    /// Time of the last commit, or of the creation of this state.
    last_commit_ms: u64,
    /// Refused writes since the last commit.
    refusals: u32,
    /// Time of the first of these refusals.
    refused_since_ms: u64,
    /// Time from which the store has counted as not committing; `None` while it commits.
    not_committing_since_ms: Option<u64>,
}

impl CommitHealth {
    /// Returns the state of a store that commits.
    pub const fn new(now_ms: u64) -> Self {
        Self {
            response_ms: 0,
            last_commit_ms: now_ms,
            refusals: 0,
            refused_since_ms: 0,
            not_committing_since_ms: None,
        }
    }

    /// Records that the store answered a call after `elapsed_ms` milliseconds.
    pub fn record_response(&mut self, elapsed_ms: u64) {
        self.response_ms = elapsed_ms.max((self.response_ms * 3 + elapsed_ms) / 4);
    }

    /// Records a commit. If the store counted as not committing, returns for how long, in
    /// milliseconds.
    pub fn record_commit(&mut self, now_ms: u64) -> Option<u64> {
        self.last_commit_ms = now_ms;
        self.refusals = 0;
        self.not_committing_since_ms.take().map(|since_ms| now_ms.saturating_sub(since_ms))
    }

    /// Records that the store refused a write, and did nothing.
    pub const fn record_refusal(&mut self, now_ms: u64) {
        if self.refusals == 0 {
            self.refused_since_ms = now_ms;
        }
        self.refusals += 1;
    }

    /// Updates the state; `oldest_outstanding_ms` is the time at which the oldest write without a
    /// result was handed over. Returns whether the store counts as not committing from now on.
    ///
    /// The age of a write counts from the last commit at the earliest, because writes may wait for
    /// others while the store commits.
    pub fn update(&mut self, oldest_outstanding_ms: Option<u64>, now_ms: u64) -> bool {
        let age_ms = oldest_outstanding_ms
            .map_or(0, |since_ms| now_ms.saturating_sub(since_ms.max(self.last_commit_ms)));
        let is_refusing = self.refusals >= MIN_REFUSALS
            && now_ms.saturating_sub(self.refused_since_ms) >= MIN_REFUSED_MS;
        let fails = is_refusing || age_ms > self.max_outstanding_ms();
        if fails && self.not_committing_since_ms.is_none() {
            self.not_committing_since_ms = Some(now_ms);
            return true;
        }
        false
    }

    /// Returns whether the store counts as committing.
    pub const fn is_committing(&self) -> bool {
        self.not_committing_since_ms.is_none()
    }

    fn max_outstanding_ms(&self) -> u64 {
        (self.response_ms * RESPONSE_TIME_FACTOR).clamp(MIN_OUTSTANDING_MS, MAX_OUTSTANDING_MS)
    }
}
