use std::collections::HashMap;
use std::collections::hash_map::Entry;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use eyre::Result;
use tokio::net::UdpSocket;
use tokio::task::JoinSet;

use super::shared::{Shared, Way};

/// Largest datagram.
const BUFFER: usize = 64 << 10;

/// Relays datagrams until the future is dropped; each sender gets a socket of its own.
pub(super) async fn relay(socket: UdpSocket, to: SocketAddr, shared: Arc<Shared>) {
    let near = Arc::new(socket);
    let mut far_sockets: HashMap<SocketAddr, Arc<UdpSocket>> = HashMap::new();
    let mut tasks = JoinSet::new();
    let mut buf = vec![0; BUFFER];
    loop {
        let Ok((size, from)) = near.recv_from(&mut buf).await else { continue };
        let far = match far_sockets.entry(from) {
            Entry::Occupied(known) => Arc::clone(known.get()),
            Entry::Vacant(new) => {
                let Ok(far) = open(to).await else { continue };
                let far = Arc::clone(new.insert(Arc::new(far)));
                tasks.spawn(back(Arc::clone(&far), Arc::clone(&near), from, Arc::clone(&shared)));
                far
            }
        };
        let datagram = buf[..size].to_vec();
        let shared = Arc::clone(&shared);
        tasks.spawn(async move {
            if passes(&shared, Way::Forward).await {
                let _ = far.send(&datagram).await;
            }
        });
        while tasks.try_join_next().is_some() {}
    }
}

async fn open(to: SocketAddr) -> Result<UdpSocket> {
    let any: SocketAddr = if to.is_ipv4() { "0.0.0.0:0".parse()? } else { "[::]:0".parse()? };
    let socket = UdpSocket::bind(any).await?;
    socket.connect(to).await?;
    Ok(socket)
}

async fn back(far: Arc<UdpSocket>, near: Arc<UdpSocket>, to: SocketAddr, shared: Arc<Shared>) {
    let mut buf = vec![0; BUFFER];
    loop {
        let Ok(size) = far.recv(&mut buf).await else {
            // A port without a process is reported here; the next datagram may find one.
            tokio::time::sleep(Duration::from_millis(1)).await;
            continue;
        };
        if passes(&shared, Way::Back).await {
            let _ = near.send_to(&buf[..size], to).await;
        }
    }
}

/// Waits for the delay; tells whether the datagram passes.
async fn passes(shared: &Shared, way: Way) -> bool {
    let faults = shared.direction(0, way);
    if faults.stall {
        return false;
    }
    tokio::time::sleep(Duration::from_millis(faults.delay_ms)).await;
    true
}
