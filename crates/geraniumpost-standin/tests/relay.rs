//! Injected faults of the relay, with TCP and UDP.

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use geraniumpost_standin::Standin;
use geraniumpost_standin::relay::{Direction, Protocol, RelayFaults, spawn_in_process};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream, UdpSocket};
use tokio::time::timeout;

const ANY_PORT: SocketAddr =
    SocketAddr::new(std::net::IpAddr::V4(std::net::Ipv4Addr::LOCALHOST), 0);
const LONG_TIMEOUT: Duration = Duration::from_secs(20);
const SHORT_TIMEOUT: Duration = Duration::from_millis(200);
const STALL: Direction = Direction { stall: true, delay_ms: 0 };

/// Starts an echo server behind a relay.
async fn echo_relay() -> Standin {
    let listener = TcpListener::bind(ANY_PORT).await.unwrap();
    let to = listener.local_addr().unwrap();
    tokio::spawn(async move {
        while let Ok((stream, _)) = listener.accept().await {
            tokio::spawn(async move {
                let (mut rx, mut tx) = stream.into_split();
                let _ = tokio::io::copy(&mut rx, &mut tx).await;
            });
        }
    });
    spawn_in_process(ANY_PORT, ANY_PORT, Protocol::Tcp, to).await.unwrap()
}

async fn set_faults(relay: &Standin, faults: RelayFaults) {
    relay.control().set_faults(&faults).await.unwrap();
}

/// Sends a byte, and returns whether it is echoed within the timeout.
async fn echoes(stream: &mut TcpStream, time: Duration) -> bool {
    let mut buf = [0];
    stream.write_all(b"x").await.is_ok()
        && matches!(timeout(time, stream.read_exact(&mut buf)).await, Ok(Ok(_)))
}

/// Defines one test per direction in which a connection is stalled.
macro_rules! stalled_connections {
    ($($name:ident: $faults:expr;)*) => {$(
        #[tokio::test]
        async fn $name() {
            let relay = echo_relay().await;
            let mut old = TcpStream::connect(relay.address()).await.unwrap();
            assert!(echoes(&mut old, LONG_TIMEOUT).await);
            set_faults(&relay, $faults).await;
            assert!(!echoes(&mut old, SHORT_TIMEOUT).await);
            let mut new = TcpStream::connect(relay.address()).await.unwrap();
            assert!(echoes(&mut new, LONG_TIMEOUT).await, "a new connection is stalled");
            set_faults(&relay, RelayFaults::default()).await;
            assert!(!echoes(&mut old, SHORT_TIMEOUT).await, "a stalled connection recovered");
        }
    )*};
}

stalled_connections! {
    forward_stall_discards_data: RelayFaults { forward: STALL, spare_new: true, ..RelayFaults::default() };
    back_stall_discards_data: RelayFaults { back: STALL, spare_new: true, ..RelayFaults::default() };
}

#[tokio::test]
async fn cut_closes_open_connections_only() {
    let relay = echo_relay().await;
    let mut old = TcpStream::connect(relay.address()).await.unwrap();
    assert!(echoes(&mut old, LONG_TIMEOUT).await);
    relay.control().act("cut").await.unwrap();
    let mut buf = [0];
    assert!(matches!(timeout(LONG_TIMEOUT, old.read(&mut buf)).await, Ok(Ok(0) | Err(_))));
    let mut new = TcpStream::connect(relay.address()).await.unwrap();
    assert!(echoes(&mut new, LONG_TIMEOUT).await);
}

#[tokio::test]
async fn refused_connection_is_closed_immediately() {
    let relay = echo_relay().await;
    set_faults(&relay, RelayFaults { refuse_new: true, ..RelayFaults::default() }).await;
    let mut new = TcpStream::connect(relay.address()).await.unwrap();
    let mut buf = [0];
    assert!(matches!(timeout(LONG_TIMEOUT, new.read(&mut buf)).await, Ok(Ok(0) | Err(_))));
}

#[tokio::test]
async fn delay_applies_to_each_direction() {
    let relay = echo_relay().await;
    let mut stream = TcpStream::connect(relay.address()).await.unwrap();
    assert!(echoes(&mut stream, LONG_TIMEOUT).await);
    let slow = Direction { stall: false, delay_ms: 60 };
    set_faults(&relay, RelayFaults { forward: slow, back: slow, ..RelayFaults::default() }).await;
    let start = Instant::now();
    assert!(echoes(&mut stream, LONG_TIMEOUT).await);
    assert!(start.elapsed() >= Duration::from_millis(120), "{:?}", start.elapsed());
}

#[tokio::test]
async fn datagrams_are_forwarded_or_discarded() {
    let server = UdpSocket::bind(ANY_PORT).await.unwrap();
    let to = server.local_addr().unwrap();
    let relay = spawn_in_process(ANY_PORT, ANY_PORT, Protocol::Udp, to).await.unwrap();
    let client = UdpSocket::bind(ANY_PORT).await.unwrap();
    client.connect(relay.address()).await.unwrap();
    let mut buf = [0; 16];
    client.send(b"there").await.unwrap();
    let (size, from) = timeout(LONG_TIMEOUT, server.recv_from(&mut buf)).await.unwrap().unwrap();
    assert_eq!(&buf[..size], b"there");
    server.send_to(b"back", from).await.unwrap();
    let size = timeout(LONG_TIMEOUT, client.recv(&mut buf)).await.unwrap().unwrap();
    assert_eq!(&buf[..size], b"back");
    set_faults(&relay, RelayFaults { forward: STALL, ..RelayFaults::default() }).await;
    client.send(b"lost").await.unwrap();
    assert!(timeout(SHORT_TIMEOUT, server.recv_from(&mut buf)).await.is_err());
}

#[tokio::test]
async fn bandwidth_limit_is_shared_by_all_connections() {
    let relay = echo_relay().await;
    let mut streams =
        [connect(&relay).await, connect(&relay).await].map(|stream| (stream, vec![0; 10_000]));
    set_faults(&relay, RelayFaults { back_bytes_per_s: 100_000, ..RelayFaults::default() }).await;
    let start = Instant::now();
    for (stream, buf) in &mut streams {
        stream.write_all(buf).await.unwrap();
    }
    for (stream, buf) in &mut streams {
        timeout(LONG_TIMEOUT, stream.read_exact(buf)).await.unwrap().unwrap();
    }
    assert!(start.elapsed() >= Duration::from_millis(200), "{:?}", start.elapsed());
}

async fn connect(relay: &Standin) -> TcpStream {
    TcpStream::connect(relay.address()).await.unwrap()
}
