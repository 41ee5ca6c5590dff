use std::net::SocketAddr;
use std::sync::Arc;

use bytes::Bytes;
use eyre::Result;
use http::{Method, Request, StatusCode};
use hyper::body::Incoming;
use tokio::sync::watch;
use tokio::task::JoinSet;

use super::{Closed, Down, Reply, Server, body_of, status, text};

/// Handler of a control listener. It gets method, path and body, and returns `None` for an unknown
/// page.
pub type Pages = Arc<dyn Fn(&Method, &str, &Bytes) -> Result<Option<Reply>> + Send + Sync>;

/// Serves the control pages of a stand-in on a separate listener.
///
/// They remain available while the service of the stand-in is down.
pub async fn serve_control(
    address: SocketAddr,
    tasks: &mut JoinSet<()>,
    pages: Pages,
) -> Result<SocketAddr> {
    let (_down_tx, down) = watch::channel(Down::No);
    let server = Server::bind(address, down).await?;
    let bound = server.address();
    tasks.spawn(server.run(move |req| respond(Arc::clone(&pages), req)));
    Ok(bound)
}

async fn respond(pages: Pages, req: Request<Incoming>) -> Result<Reply, Closed> {
    let method = req.method().clone();
    let path = req.uri().path().to_owned();
    let body = body_of(req).await?;
    Ok(match pages(&method, &path, &body) {
        Ok(Some(reply)) => reply,
        Ok(None) => status(StatusCode::NOT_FOUND),
        Err(e) => text(StatusCode::BAD_REQUEST, format!("{e:#}")),
    })
}
