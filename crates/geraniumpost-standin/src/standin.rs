use std::future::Future;
use std::net::SocketAddr;
use std::sync::Arc;

use bytes::Bytes;
use eyre::Result;
use http::{Method, Request};
use hyper::body::Incoming;
use tokio::task::JoinSet;

use crate::http::{Closed, Reply, Server, serve_control};

/// Handler of the control pages of a stand-in. It gets the shared state, method, path and body, and
/// returns `None` for an unknown page.
pub type PageHandler<S> = fn(&S, &Method, &str, &Bytes) -> Result<Option<Reply>>;

/// A stand-in that runs on the caller's runtime until this handle is dropped.
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

    /// Serves requests with `handler`, and control pages with `page` on a separate listener.
    pub(crate) async fn serve<S, F>(
        server: Server,
        control: SocketAddr,
        shared: Arc<S>,
        handler: fn(Arc<S>, Request<Incoming>) -> F,
        page: PageHandler<S>,
    ) -> Result<Self>
    where
        S: Send + Sync + 'static,
        F: Future<Output = Result<Reply, Closed>> + Send + 'static,
    {
        let mut tasks = JoinSet::new();
        let control = serve_pages(control, &mut tasks, Arc::clone(&shared), page).await?;
        let address = server.address();
        tasks.spawn(server.run(move |req| handler(Arc::clone(&shared), req)));
        Ok(Self::new(address, control, tasks))
    }

    /// Adds a task that runs until the stand-in is dropped.
    #[must_use]
    pub(crate) fn with_task(mut self, task: impl Future<Output = ()> + Send + 'static) -> Self {
        self.tasks.spawn(task);
        self
    }

    /// Returns the address of the service.
    pub const fn address(&self) -> SocketAddr {
        self.address
    }

    /// Returns the address of the control listener, for use with [`Control`](crate::Control).
    pub const fn control_address(&self) -> SocketAddr {
        self.control
    }

    /// Returns a client of the control listener.
    pub const fn control(&self) -> crate::Control {
        crate::Control::new(self.control)
    }

    /// Waits until a task of the stand-in ends, which happens only after an error.
    pub async fn ended(mut self) {
        self.tasks.join_next().await;
    }
}

/// Serves the control pages of a stand-in.
pub(crate) async fn serve_pages<S: Send + Sync + 'static>(
    control: SocketAddr,
    tasks: &mut JoinSet<()>,
    shared: Arc<S>,
    page: PageHandler<S>,
) -> Result<SocketAddr> {
    let pages = move |method: &Method, path: &str, body: &Bytes| page(&shared, method, path, body);
    serve_control(control, tasks, Arc::new(pages)).await
}
