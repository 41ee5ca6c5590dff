use std::net::SocketAddr;

use tokio::sync::watch;

/// A coordinator as others know it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct KnownCoordinator {
    /// Where it is reached.
    pub address: SocketAddr,
    /// Its fencing token.
    pub fence: u64,
}

impl KnownCoordinator {
    /// Tells those who watch that this is the coordinator, if they know another one or none.
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
