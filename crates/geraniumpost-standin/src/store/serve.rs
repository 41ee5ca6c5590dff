use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use eyre::Result;
use http::{Method, StatusCode};
use tokio::sync::watch;

use super::service::answer;
use super::shared::Shared;
use crate::Standin;
use crate::http::{Down, Reply, Server, json, status};

/// Interval at which overdue leases are ended, so that watches see it without another call.
const EXPIRY_TICK: Duration = Duration::from_millis(10);

/// Runs the key-value service until the returned handle is dropped.
///
/// Its control listener serves `GET /counts`, `GET /fault` and `POST /fault`.
pub async fn spawn_in_process(listen: SocketAddr, control: SocketAddr) -> Result<Standin> {
    let (up, down) = watch::channel(Down::No);
    let shared = Arc::new(Shared::new(up));
    let server = Server::bind(listen, down).await?;
    let ticking = Arc::clone(&shared);
    let standin = Standin::serve(server, control, shared, answer, page).await?;
    Ok(standin.beside(expire_leases(ticking)))
}

async fn expire_leases(shared: Arc<Shared>) {
    let mut ticks = tokio::time::interval(EXPIRY_TICK);
    loop {
        ticks.tick().await;
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
