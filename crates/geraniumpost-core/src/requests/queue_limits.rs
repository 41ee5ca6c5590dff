/// Hard bounds of one minion's queue.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct QueueLimits {
    pub(super) slots: usize,
    pub(super) queue: usize,
}

impl QueueLimits {
    /// Returns the bounds of the document's defaults: 8 slots, 32 waiting.
    pub const fn new() -> Self {
        Self { slots: 8, queue: 32 }
    }

    /// Sets how many requests the minion runs at once.
    #[must_use]
    pub const fn slots(mut self, slots: usize) -> Self {
        self.slots = if slots == 0 { 1 } else { slots };
        self
    }

    /// Sets how many requests may wait for a slot.
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
