use std::net::SocketAddr;

use tokio::task::JoinSet;

/// A stand-in that runs inside the caller's runtime until this handle is dropped.
#[derive(Debug)]
pub struct Standin {
    address: SocketAddr,
    control: SocketAddr,
    tasks: JoinSet<()>,
}

impl Standin {
    pub(crate) const fn new(address: SocketAddr, control: SocketAddr, tasks: JoinSet<()>) -> Self {
        Self { address, control, tasks }
    }

    /// Returns the address at which the stand-in serves.
    pub const fn address(&self) -> SocketAddr {
        self.address
    }

    /// Returns the address of its control listener, to be used with [`Control`](crate::Control).
    pub const fn control_address(&self) -> SocketAddr {
        self.control
    }

    /// Returns a client of its control listener.
    pub const fn control(&self) -> crate::Control {
        crate::Control::new(self.control)
    }

    /// Waits until the stand-in ends by itself, which it only does after an error.
    pub async fn ended(mut self) {
        self.tasks.join_next().await;
    }
}
