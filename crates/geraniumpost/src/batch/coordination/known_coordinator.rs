use std::net::SocketAddr;

use tokio::sync::watch;

/// Address and fencing token of the current coordinator, as read from the store or reported by a
/// peer.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct KnownCoordinator {
    /// Address on which the coordinator accepts links of agents and entries.
    pub address: SocketAddr,
    /// Fencing token of the coordinator, which equals its term.
    pub fence: u64,
}

impl KnownCoordinator {
    /// Publishes this coordinator to all watchers if it differs from the published one.
    pub fn publish(self, coordinator_tx: &watch::Sender<Option<Self>>) {
        coordinator_tx.send_if_modified(|current| {
            let changed = *current != Some(self);
            if changed {
                spdlog::info!(
                    "event=coordinator_known address={} fence={}",
                    self.address,
                    self.fence
                );
            }
            *current = Some(self);
            changed
        });
    }
}
