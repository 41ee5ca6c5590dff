use std::net::SocketAddr;
use std::sync::Arc;

use bytes::Bytes;
use eyre::Result;
use http::{Method, StatusCode};
use tokio::net::{TcpListener, UdpSocket};
use tokio::task::JoinSet;

use super::shared::Shared;
use super::{Protocol, tcp, udp};
use crate::Standin;
use crate::http::{Reply, json, status};
use crate::standin::serve_pages;

/// Runs a relay to the address `to` until the returned handle is dropped.
///
/// The control listener serves `GET /fault`, `POST /fault` and `POST /cut`.
pub async fn spawn_in_process(
    listen: SocketAddr,
    control: SocketAddr,
    protocol: Protocol,
    to: SocketAddr,
) -> Result<Standin> {
    let shared = Arc::new(Shared::new());
    let mut tasks = JoinSet::new();
    let control = serve_pages(control, &mut tasks, Arc::clone(&shared), page).await?;
    let address = match protocol {
        Protocol::Tcp => {
            let listener = TcpListener::bind(listen).await?;
            let address = listener.local_addr()?;
            tasks.spawn(tcp::relay(listener, to, shared));
            address
        }
        Protocol::Udp => {
            let socket = UdpSocket::bind(listen).await?;
            let address = socket.local_addr()?;
            tasks.spawn(udp::relay(socket, to, shared));
            address
        }
    };
    Ok(Standin::new(address, control, tasks))
}

fn page(shared: &Shared, method: &Method, path: &str, body: &Bytes) -> Result<Option<Reply>> {
    let done = || Some(status(StatusCode::NO_CONTENT));
    Ok(match (method, path) {
        (&Method::GET, "/fault") => Some(json(&shared.faults())),
        (&Method::POST, "/fault") => {
            shared.set_faults(serde_json::from_slice(body)?);
            done()
        }
        (&Method::POST, "/cut") => {
            shared.cut();
            done()
        }
        _ => None,
    })
}
