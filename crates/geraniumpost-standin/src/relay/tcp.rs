use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::tcp::{OwnedReadHalf, OwnedWriteHalf};
use tokio::net::{TcpListener, TcpStream};
use tokio::task::JoinSet;

use super::shared::{FlowDirection, Shared};

/// Limit on the bytes that are read and forwarded together.
const BUFFER_BYTES: usize = 8 << 10;

/// Accepts and relays connections until the future is dropped.
pub(super) async fn relay(listener: TcpListener, to: SocketAddr, shared: Arc<Shared>) {
    let mut connections = JoinSet::new();
    loop {
        tokio::select! {
            accepted = listener.accept() => {
                if let (Ok((client, _)), Some(number)) = (accepted, shared.admit()) {
                    connections.spawn(connect(client, to, Arc::clone(&shared), number));
                }
            }
            Some(_) = connections.join_next() => {}
        }
    }
}

async fn connect(client: TcpStream, to: SocketAddr, shared: Arc<Shared>, number: u64) {
    let mut cuts = shared.cuts();
    let Ok(server) = TcpStream::connect(to).await else { return };
    let _ = (client.set_nodelay(true), server.set_nodelay(true));
    let (client_rx, client_tx) = client.into_split();
    let (server_rx, server_tx) = server.into_split();
    let transfers = async {
        tokio::join!(
            forward(client_rx, server_tx, &shared, number, FlowDirection::Forward),
            forward(server_rx, client_tx, &shared, number, FlowDirection::Back),
        )
    };
    tokio::select! {
        _ = transfers => {}
        _ = cuts.changed() => {}
    }
}

/// Forwards bytes in one direction until the stream ends or fails.
async fn forward(
    mut rx: OwnedReadHalf,
    mut tx: OwnedWriteHalf,
    shared: &Shared,
    number: u64,
    flow: FlowDirection,
) {
    let mut buf = vec![0; BUFFER_BYTES];
    let mut stalled = false;
    loop {
        let read = rx.read(&mut buf).await.unwrap_or(0);
        let faults = shared.faults_of(number, flow);
        stalled |= faults.stall;
        match (stalled, read) {
            // A stalled connection forwards neither bytes nor the end of the stream.
            (true, 0) => std::future::pending().await,
            (true, _) => {}
            (false, 0) => {
                let _ = tx.shutdown().await;
                return;
            }
            (false, read) => {
                tokio::time::sleep(Duration::from_millis(faults.delay_ms)).await;
                tokio::time::sleep_until(shared.transferred_at(flow, read)).await;
                if tx.write_all(&buf[..read]).await.is_err() {
                    return;
                }
            }
        }
    }
}
