use std::sync::atomic::{AtomicU64, Ordering::Relaxed};

/// Thousandths of a retry in one retry.
const WHOLE: u64 = 1000;

/// A token bucket that lets retries be a bounded share of the requests.
///
/// When many attempts fail, unbounded retries multiply the load just when capacity is missing, and
/// the service stays down after the fault is gone. Each request pays in a few thousandths of a
/// retry and each retry takes a whole one out, so in the long run retries stay below that share.
/// The burst covers the requests that were at one agent when it died.
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
    permille: AtomicU64,
    burst: u64,
    tokens: AtomicU64,
}

impl RetryBudget {
    /// Returns a full budget of `burst` retries that regains `permille` retries per thousand
    /// requests.
    pub const fn new(permille: u64, burst: u64) -> Self {
        let full = burst * WHOLE;
        Self { permille: AtomicU64::new(permille), burst: full, tokens: AtomicU64::new(full) }
    }

    /// Sets the retries allowed per thousand requests, when the configuration changes.
    pub fn set_permille(&self, permille: u64) {
        self.permille.store(permille, Relaxed);
    }

    /// Pays in for one request.
    pub fn deposit(&self) {
        let paid = self.permille.load(Relaxed);
        let add = |tokens: u64| Some(tokens.saturating_add(paid).min(self.burst));
        let _ = self.tokens.fetch_update(Relaxed, Relaxed, add);
    }

    /// Takes one retry out, if there is one.
    #[must_use]
    pub fn try_withdraw(&self) -> bool {
        let less = |tokens: u64| tokens.checked_sub(WHOLE);
        self.tokens.fetch_update(Relaxed, Relaxed, less).is_ok()
    }
}
