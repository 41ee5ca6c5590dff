use std::collections::HashMap;
use std::collections::hash_map::Entry;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use eyre::Result;
use tokio::net::UdpSocket;
use tokio::task::JoinSet;

use super::shared::{FlowDirection, Shared};

/// Size of the receive buffer, larger than any UDP datagram.
const BUFFER_BYTES: usize = 64 << 10;

/// Relays datagrams until the future is dropped, with a separate socket for each client.
pub(super) async fn relay(socket: UdpSocket, to: SocketAddr, shared: Arc<Shared>) {
    let client_socket = Arc::new(socket);
    let mut server_sockets: HashMap<SocketAddr, Arc<UdpSocket>> = HashMap::new();
    let mut tasks = JoinSet::new();
    let mut buf = vec![0; BUFFER_BYTES];
    loop {
        let Ok((size, from)) = client_socket.recv_from(&mut buf).await else { continue };
        let server_socket = match server_sockets.entry(from) {
            Entry::Occupied(known) => Arc::clone(known.get()),
            Entry::Vacant(new) => {
                let Ok(server_socket) = open(to).await else { continue };
                let server_socket = Arc::clone(new.insert(Arc::new(server_socket)));
                tasks.spawn(relay_responses(
                    Arc::clone(&server_socket),
                    Arc::clone(&client_socket),
                    from,
                    Arc::clone(&shared),
                ));
                server_socket
            }
        };
        let datagram = buf[..size].to_vec();
        let shared = Arc::clone(&shared);
        tasks.spawn(async move {
            if is_forwarded(&shared, FlowDirection::Forward).await {
                let _ = server_socket.send(&datagram).await;
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

async fn relay_responses(
    server_socket: Arc<UdpSocket>,
    client_socket: Arc<UdpSocket>,
    to: SocketAddr,
    shared: Arc<Shared>,
) {
    let mut buf = vec![0; BUFFER_BYTES];
    loop {
        let Ok(size) = server_socket.recv(&mut buf).await else {
            // The socket reports here that nobody listens on the port; this may change.
            tokio::time::sleep(Duration::from_millis(1)).await;
            continue;
        };
        if is_forwarded(&shared, FlowDirection::Back).await {
            let _ = client_socket.send_to(&buf[..size], to).await;
        }
    }
}

/// Waits for the injected delay, and returns whether the datagram is forwarded.
async fn is_forwarded(shared: &Shared, flow: FlowDirection) -> bool {
    let faults = shared.faults_of(0, flow);
    if faults.stall {
        return false;
    }
    tokio::time::sleep(Duration::from_millis(faults.delay_ms)).await;
    true
}
