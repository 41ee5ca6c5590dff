use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use eyre::Result;
use http::{Method, StatusCode};
use tokio::sync::watch;

use super::service::handle;
use super::shared::Shared;
use crate::Standin;
use crate::http::{Down, Reply, Server, json, status};

/// Interval at which expired leases are ended, so that watches notice without another call.
const EXPIRY_INTERVAL: Duration = Duration::from_millis(10);

/// Runs the key-value service until the returned handle is dropped.
///
/// The control listener serves `GET /counts`, `GET /fault` and `POST /fault`.
pub async fn spawn_in_process(listen: SocketAddr, control: SocketAddr) -> Result<Standin> {
    let (down_tx, down_rx) = watch::channel(Down::No);
    let shared = Arc::new(Shared::new(down_tx));
    let server = Server::bind(listen, down_rx).await?;
    let task_shared = Arc::clone(&shared);
    let standin = Standin::serve(server, control, shared, handle, page).await?;
    Ok(standin.with_task(expire_leases(task_shared)))
}

async fn expire_leases(shared: Arc<Shared>) {
    let mut interval = tokio::time::interval(EXPIRY_INTERVAL);
    loop {
        interval.tick().await;
        shared.expire();
    }
}

fn page(shared: &Shared, method: &Method, path: &str, body: &Bytes) -> Result<Option<Reply>> {
    Ok(match (method, path) {
        (&Method::GET, "/counts") => Some(json(&shared.counts())),
        (&Method::GET, "/fault") => Some(json(&shared.faults())),
        (&Method::POST, "/fault") => {
            shared.set_faults(serde_json::from_slice(body)?);
            Some(status(StatusCode::NO_CONTENT))
        }
        _ => None,
    })
}
