use std::future::Future;
use std::net::SocketAddr;
use std::sync::Arc;

use bytes::Bytes;
use eyre::Result;
use http::{Method, Request};
use hyper::body::Incoming;
use tokio::task::JoinSet;

use crate::http::{Closed, Reply, Server, serve_control};

/// Control pages of a stand-in: what it shares, method, path and body to a reply, or `None` for no
/// such page.
pub type Page<S> = fn(&S, &Method, &str, &Bytes) -> Result<Option<Reply>>;

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

    /// Serves `answer` on a server and `page` on a control listener.
    pub(crate) async fn serve<S, F>(
        server: Server,
        control: SocketAddr,
        shared: Arc<S>,
        answer: fn(Arc<S>, Request<Incoming>) -> F,
        page: Page<S>,
    ) -> Result<Self>
    where
        S: Send + Sync + 'static,
        F: Future<Output = Result<Reply, Closed>> + Send + 'static,
    {
        let mut tasks = JoinSet::new();
        let control = serve_pages(control, &mut tasks, Arc::clone(&shared), page).await?;
        let address = server.address();
        tasks.spawn(server.run(move |req| answer(Arc::clone(&shared), req)));
        Ok(Self::new(address, control, tasks))
    }

    /// Runs a task for as long as the stand-in.
    #[must_use]
    pub(crate) fn beside(mut self, task: impl Future<Output = ()> + Send + 'static) -> Self {
        self.tasks.spawn(task);
        self
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

/// Serves the control pages of what a stand-in shares.
pub(crate) async fn serve_pages<S: Send + Sync + 'static>(
    control: SocketAddr,
    tasks: &mut JoinSet<()>,
    shared: Arc<S>,
    page: Page<S>,
) -> Result<SocketAddr> {
    let pages = move |method: &Method, path: &str, body: &Bytes| page(&shared, method, path, body);
    serve_control(control, tasks, Arc::new(pages)).await
}
