use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::tcp::{OwnedReadHalf, OwnedWriteHalf};
use tokio::net::{TcpListener, TcpStream};
use tokio::task::JoinSet;

use super::shared::{Shared, Way};

/// Bytes read at once.
const BUFFER: usize = 8 << 10;

/// Accepts and relays connections until the future is dropped.
pub(super) async fn relay(listener: TcpListener, to: SocketAddr, shared: Arc<Shared>) {
    let mut connections = JoinSet::new();
    loop {
        tokio::select! {
            accepted = listener.accept() => {
                if let (Ok((near, _)), Some(number)) = (accepted, shared.admit()) {
                    connections.spawn(connect(near, to, Arc::clone(&shared), number));
                }
            }
            Some(_) = connections.join_next() => {}
        }
    }
}

async fn connect(near: TcpStream, to: SocketAddr, shared: Arc<Shared>, number: u64) {
    let mut cuts = shared.cuts();
    let Ok(far) = TcpStream::connect(to).await else { return };
    let _ = (near.set_nodelay(true), far.set_nodelay(true));
    let (near_rx, near_tx) = near.into_split();
    let (far_rx, far_tx) = far.into_split();
    let ways = async {
        tokio::join!(
            pump(near_rx, far_tx, &shared, number, Way::Forward),
            pump(far_rx, near_tx, &shared, number, Way::Back),
        )
    };
    tokio::select! {
        _ = ways => {}
        _ = cuts.changed() => {}
    }
}

/// Passes bytes on until an end or an error.
async fn pump(
    mut rx: OwnedReadHalf,
    mut tx: OwnedWriteHalf,
    shared: &Shared,
    number: u64,
    way: Way,
) {
    let mut buf = vec![0; BUFFER];
    let mut silent = false;
    loop {
        let read = rx.read(&mut buf).await.unwrap_or(0);
        let faults = shared.direction(number, way);
        silent |= faults.stall;
        match (silent, read) {
            // Neither bytes nor the end of the stream get through a silent connection.
            (true, 0) => std::future::pending().await,
            (true, _) => {}
            (false, 0) => {
                let _ = tx.shutdown().await;
                return;
            }
            (false, read) => {
                tokio::time::sleep(Duration::from_millis(faults.delay_ms)).await;
                tokio::time::sleep_until(shared.passed_at(way, read)).await;
                if tx.write_all(&buf[..read]).await.is_err() {
                    return;
                }
            }
        }
    }
}
