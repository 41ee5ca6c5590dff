/// Limits on the numbers of requests that run on one minion and that wait for a slot.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct QueueLimits {
    pub(super) slots: usize,
    pub(super) queue: usize,
}

impl QueueLimits {
    /// Returns the defaults of the configuration document: 8 slots and 32 waiting requests.
    pub const fn new() -> Self {
        Self { slots: 8, queue: 32 }
    }

    /// Sets how many requests the minion runs concurrently; 0 counts as 1.
    #[must_use]
    pub const fn slots(mut self, slots: usize) -> Self {
        self.slots = if slots == 0 { 1 } else { slots };
        self
    }

    /// Sets how many requests may wait for a slot; with 0, a request that cannot start immediately
    /// is refused.
    #[must_use]
    pub const fn queue(mut self, queue: usize) -> Self {
        self.queue = queue;
        self
    }
}

impl Default for QueueLimits {
    fn default() -> Self {
        Self::new()
    }
}
