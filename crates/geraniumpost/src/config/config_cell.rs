use std::sync::Arc;

use arc_swap::{ArcSwap, Guard};
use tokio::sync::watch;

use super::ActiveConfig;

/// Holds the revision in force for all tasks of the process.
///
/// Requests read it without a lock; a change swaps the whole of it, so that no request sees half of
/// two revisions.
#[derive(Debug)]
pub struct ConfigCell {
    current: ArcSwap<ActiveConfig>,
    revision: watch::Sender<u64>,
}

impl Default for ConfigCell {
    fn default() -> Self {
        let (revision, _) = watch::channel(0);
        Self { current: ArcSwap::from_pointee(ActiveConfig::none()), revision }
    }
}

impl ConfigCell {
    /// Returns the revision in force, cheaply and for a short use.
    pub fn load(&self) -> Guard<Arc<ActiveConfig>> {
        self.current.load()
    }

    /// Returns the revision in force to be kept across an await.
    pub fn load_full(&self) -> Arc<ActiveConfig> {
        self.current.load_full()
    }

    /// Puts a revision in force unless it is not higher, and returns whether it did.
    ///
    /// [`Adoption`](geraniumpost_core::config::Adoption) decides this already; the cell checks
    /// again because two tasks may carry out its decisions in another order.
    pub fn adopt(&self, new: ActiveConfig) -> bool {
        let new = Arc::new(new);
        let before = self.current.rcu(|now| {
            if new.revision() > now.revision() { Arc::clone(&new) } else { Arc::clone(now) }
        });
        let adopted = new.revision() > before.revision();
        if adopted {
            self.revision.send_if_modified(|revision| {
                let higher = new.revision() > *revision;
                *revision = (*revision).max(new.revision());
                higher
            });
        }
        adopted
    }

    /// Returns a receiver that is told of each revision put in force.
    pub fn subscribe(&self) -> watch::Receiver<u64> {
        self.revision.subscribe()
    }
}
