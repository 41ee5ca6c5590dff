use std::net::SocketAddr;
use std::sync::Arc;

use bytes::Bytes;
use eyre::Result;
use http::{Method, StatusCode};
use tokio::sync::watch;
use tokio::task::JoinSet;

use super::MinionOptions;
use super::service::answer;
use super::shared::Shared;
use crate::Standin;
use crate::http::{Down, Reply, Server, json, serve_control, status};

/// Runs a minion until the returned handle is dropped.
///
/// Its control listener serves `GET /record`, `GET /counts`, `GET /fault` and `POST /fault`.
pub async fn spawn_in_process(
    listen: SocketAddr,
    control: SocketAddr,
    options: MinionOptions,
) -> Result<Standin> {
    let (up, down) = watch::channel(Down::No);
    let server = Server::bind(listen, down).await?;
    let shared = Arc::new(Shared::open(options, server.connections(), up)?);
    let address = server.address();
    let mut tasks = JoinSet::new();
    let pages = Arc::clone(&shared);
    let control = serve_control(
        control,
        &mut tasks,
        Arc::new(move |method, path, body| page(&pages, method, path, body)),
    );
    let control = control.await?;
    tasks.spawn(server.run(move |req| answer(Arc::clone(&shared), req)));
    Ok(Standin::new(address, control, tasks))
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
