use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use eyre::Result;
use http::{Method, StatusCode};
use tokio::sync::watch;

use super::WorkerOptions;
use super::service::handle;
use super::shared::Shared;
use crate::Standin;
use crate::http::{Down, Reply, Server, json, status};

/// Interval at which tasks are advanced, so that their ends are recorded without a call.
const ADVANCE_INTERVAL: Duration = Duration::from_millis(20);

/// Runs a worker until the returned handle is dropped.
///
/// The control listener serves `GET /record`, `GET /fault` and `POST /fault`.
pub async fn spawn_in_process(
    listen: SocketAddr,
    control: SocketAddr,
    options: WorkerOptions,
) -> Result<Standin> {
    let (down_tx, down_rx) = watch::channel(Down::No);
    let shared = Arc::new(Shared::open(options, down_tx)?);
    let server = Server::bind(listen, down_rx).await?;
    let task_shared = Arc::clone(&shared);
    let standin = Standin::serve(server, control, shared, handle, page).await?;
    Ok(standin.with_task(advance_tasks(task_shared)))
}

async fn advance_tasks(shared: Arc<Shared>) {
    let mut interval = tokio::time::interval(ADVANCE_INTERVAL);
    loop {
        interval.tick().await;
        shared.update(|_, _| ());
    }
}

fn page(shared: &Shared, method: &Method, path: &str, body: &Bytes) -> Result<Option<Reply>> {
    Ok(match (method, path) {
        (&Method::GET, "/record") => Some(json(&shared.record())),
        (&Method::GET, "/fault") => Some(json(&shared.faults())),
        (&Method::POST, "/fault") => {
            shared.set_faults(serde_json::from_slice(body)?);
            Some(status(StatusCode::NO_CONTENT))
        }
        _ => None,
    })
}
