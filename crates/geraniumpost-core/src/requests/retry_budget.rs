use std::sync::atomic::{AtomicU64, Ordering::Relaxed};

/// Tokens that one retry withdraws.
const TOKENS_PER_RETRY: u64 = 1000;

/// Token bucket that limits retries to a share of the requests.
///
/// When many attempts fail, unlimited retries multiply the load while capacity is missing, and the
/// service remains overloaded after the fault has ended. Each request deposits a few thousandths of
/// a retry and each retry withdraws one whole retry, so in the long run retries do not exceed that
/// share of the requests. The initial balance covers the requests that were at one agent when it
/// failed.
///
/// # Example
///
/// ```
/// use geraniumpost_core::requests::RetryBudget;
/// let budget = RetryBudget::new(500, 1);
/// assert!(budget.try_withdraw());
/// assert!(!budget.try_withdraw());
/// budget.deposit();
/// budget.deposit();
/// assert!(budget.try_withdraw());
/// ```
#[derive(Debug)]
pub struct RetryBudget {
    retries_permille: AtomicU64,
    burst_tokens: u64,
    tokens: AtomicU64,
}

impl RetryBudget {
    /// Returns a budget that holds at most `burst` retries, initially all of them, and is refilled
    /// by `permille` retries per thousand requests.
    pub const fn new(permille: u64, burst: u64) -> Self {
        let burst_tokens = burst * TOKENS_PER_RETRY;
        Self {
            retries_permille: AtomicU64::new(permille),
            burst_tokens,
            tokens: AtomicU64::new(burst_tokens),
        }
    }

    /// Sets the number of retries allowed per thousand requests, after a change of configuration.
    pub fn set_permille(&self, permille: u64) {
        self.retries_permille.store(permille, Relaxed);
    }

    /// Deposits the tokens for one request. Must be called once for each request that is not a
    /// retry.
    pub fn deposit(&self) {
        let deposit = self.retries_permille.load(Relaxed);
        let add = |tokens: u64| Some(tokens.saturating_add(deposit).min(self.burst_tokens));
        let _ = self.tokens.fetch_update(Relaxed, Relaxed, add);
    }

    /// Withdraws one retry, and returns whether a retry was available.
    #[must_use]
    pub fn try_withdraw(&self) -> bool {
        let withdraw = |tokens: u64| tokens.checked_sub(TOKENS_PER_RETRY);
        self.tokens.fetch_update(Relaxed, Relaxed, withdraw).is_ok()
    }
}
