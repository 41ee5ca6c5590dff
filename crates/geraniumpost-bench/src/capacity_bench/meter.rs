use std::sync::atomic::{AtomicU64, Ordering};

use super::flow::Flow;

/// Counts messages of one kind and their bytes; it can be shared by many tasks.
#[derive(Debug, Default)]
pub struct Meter {
    count: AtomicU64,
    bytes: AtomicU64,
}

impl Meter {
    /// Counts one message.
    pub fn add(&self, bytes: usize) {
        self.count.fetch_add(1, Ordering::Relaxed);
        self.bytes.fetch_add(bytes as u64, Ordering::Relaxed);
    }

    /// Returns the totals so far.
    pub fn read(&self) -> Flow {
        Flow {
            count: self.count.load(Ordering::Relaxed) as f64,
            bytes: self.bytes.load(Ordering::Relaxed) as f64,
        }
    }
}
