use std::sync::Arc;

use arc_swap::{ArcSwap, Guard};
use tokio::sync::watch;

use super::ActiveConfig;

/// Shared cell that contains the configuration in force.
///
/// Reads take no lock. A change replaces the whole configuration, so that no request sees parts of
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
    /// Returns a guard of the configuration in force. It is cheap, and must be dropped soon.
    pub fn load(&self) -> Guard<Arc<ActiveConfig>> {
        self.current.load()
    }

    /// Returns the configuration in force as a reference that may be held across an `await`.
    pub fn load_full(&self) -> Arc<ActiveConfig> {
        self.current.load_full()
    }

    /// Puts a configuration in force if its revision is higher, and returns whether it did.
    ///
    /// [`Adoption`](geraniumpost_core::config::Adoption) ensures this already. The revision is
    /// checked again because two tasks may carry out its decisions in reverse order.
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

    /// Returns a receiver of the revision in force.
    pub fn subscribe(&self) -> watch::Receiver<u64> {
        self.revision.subscribe()
    }
}
