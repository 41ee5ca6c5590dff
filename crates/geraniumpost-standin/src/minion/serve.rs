use std::net::SocketAddr;
use std::sync::Arc;

use bytes::Bytes;
use eyre::Result;
use http::{Method, StatusCode};
use tokio::sync::watch;

use super::MinionOptions;
use super::service::handle;
use super::shared::Shared;
use crate::Standin;
use crate::http::{Down, Reply, Server, json, status};

/// Runs a minion until the returned handle is dropped.
///
/// The control listener serves `GET /record`, `GET /counts`, `GET /fault` and `POST /fault`.
pub async fn spawn_in_process(
    listen: SocketAddr,
    control: SocketAddr,
    options: MinionOptions,
) -> Result<Standin> {
    let (down_tx, down_rx) = watch::channel(Down::No);
    let server = Server::bind(listen, down_rx).await?;
    let shared = Arc::new(Shared::open(options, server.connections(), down_tx)?);
    Standin::serve(server, control, shared, handle, page).await
}

fn page(shared: &Shared, method: &Method, path: &str, body: &Bytes) -> Result<Option<Reply>> {
    Ok(match (method, path) {
        (&Method::GET, "/record") => Some(json(&shared.record())),
        (&Method::GET, "/counts") => Some(json(&shared.counts())),
        (&Method::GET, "/fault") => Some(json(&shared.faults())),
        (&Method::POST, "/fault") => {
            shared.set_faults(serde_json::from_slice(body)?);
            Some(status(StatusCode::NO_CONTENT))
        }
        _ => None,
    })
}
