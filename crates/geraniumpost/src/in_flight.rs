use std::sync::Arc;

use tokio::sync::watch;

/// Counts work that is in progress, for example requests or connections.
#[derive(Debug, Clone, Default)]
pub struct InFlight {
    count: Arc<watch::Sender<usize>>,
}

/// Guard that counts one piece of work until it is dropped.
#[derive(Debug)]
pub struct InFlightGuard {
    count: Arc<watch::Sender<usize>>,
}

impl InFlight {
    /// Counts a piece of work until the returned guard is dropped.
    #[must_use]
    pub fn begin(&self) -> InFlightGuard {
        self.count.send_modify(|count| *count += 1);
        InFlightGuard { count: Arc::clone(&self.count) }
    }

    /// Returns the number of pieces of work in progress.
    pub fn count(&self) -> usize {
        *self.count.borrow()
    }

    /// Waits until no work is in progress.
    pub async fn ended(&self) {
        // The sender belongs to `self`, so that waiting cannot fail.
        let _ = self.count.subscribe().wait_for(|count| *count == 0).await;
    }
}

impl Drop for InFlightGuard {
    fn drop(&mut self) {
        self.count.send_modify(|count| *count -= 1);
    }
}
