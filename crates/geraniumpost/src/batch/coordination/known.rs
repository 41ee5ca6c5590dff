use std::net::SocketAddr;

use tokio::sync::watch;

/// A coordinator as others know it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Known {
    /// Where it is reached.
    pub address: SocketAddr,
    /// Its fencing token.
    pub fence: u64,
}

impl Known {
    /// Tells those who watch that this is the coordinator, if they know another one or none.
    pub fn publish(self, known: &watch::Sender<Option<Self>>) {
        known.send_if_modified(|present| {
            let news = *present != Some(self);
            if news {
                spdlog::info!(
                    "event=coordinator_known address={} fence={}",
                    self.address,
                    self.fence
                );
            }
            *present = Some(self);
            news
        });
    }
}
