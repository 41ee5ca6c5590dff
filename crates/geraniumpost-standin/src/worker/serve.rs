use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use eyre::Result;
use http::{Method, StatusCode};
use tokio::sync::watch;

use super::WorkerOptions;
use super::service::answer;
use super::shared::Shared;
use crate::Standin;
use crate::http::{Down, Reply, Server, json, status};

/// Interval at which ends of tasks are recorded although nobody asks.
const WORK_TICK: Duration = Duration::from_millis(20);

/// Runs a worker until the returned handle is dropped.
///
/// Its control listener serves `GET /record`, `GET /fault` and `POST /fault`.
pub async fn spawn_in_process(
    listen: SocketAddr,
    control: SocketAddr,
    options: WorkerOptions,
) -> Result<Standin> {
    let (up, down) = watch::channel(Down::No);
    let shared = Arc::new(Shared::open(options, up)?);
    let server = Server::bind(listen, down).await?;
    let ticking = Arc::clone(&shared);
    let standin = Standin::serve(server, control, shared, answer, page).await?;
    Ok(standin.beside(work(ticking)))
}

async fn work(shared: Arc<Shared>) {
    let mut ticks = tokio::time::interval(WORK_TICK);
    loop {
        ticks.tick().await;
        shared.change(|_, _| ());
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
