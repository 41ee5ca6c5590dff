//! The relay's faults, by connections and by datagrams.

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use geraniumpost_standin::Standin;
use geraniumpost_standin::relay::{Direction, Protocol, RelayFaults, spawn_in_process};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream, UdpSocket};
use tokio::time::timeout;

const ANY: SocketAddr = SocketAddr::new(std::net::IpAddr::V4(std::net::Ipv4Addr::LOCALHOST), 0);
const LONG: Duration = Duration::from_secs(20);
const SHORT: Duration = Duration::from_millis(200);
const STALL: Direction = Direction { stall: true, delay_ms: 0 };

/// Starts an echo server behind a relay.
async fn echo_relay() -> Standin {
    let listener = TcpListener::bind(ANY).await.unwrap();
    let to = listener.local_addr().unwrap();
    tokio::spawn(async move {
        while let Ok((stream, _)) = listener.accept().await {
            tokio::spawn(async move {
                let (mut rx, mut tx) = stream.into_split();
                let _ = tokio::io::copy(&mut rx, &mut tx).await;
            });
        }
    });
    spawn_in_process(ANY, ANY, Protocol::Tcp, to).await.unwrap()
}

async fn set(relay: &Standin, faults: RelayFaults) {
    relay.control().set_faults(&faults).await.unwrap();
}

/// Sends a byte and tells whether it came back.
async fn echoes(stream: &mut TcpStream, time: Duration) -> bool {
    let mut buf = [0];
    stream.write_all(b"x").await.is_ok()
        && matches!(timeout(time, stream.read_exact(&mut buf)).await, Ok(Ok(_)))
}

/// Names each case of a connection that one faulty direction makes silent.
macro_rules! stalled {
    ($($name:ident: $faults:expr;)*) => {$(
        #[tokio::test]
        async fn $name() {
            let relay = echo_relay().await;
            let mut old = TcpStream::connect(relay.address()).await.unwrap();
            assert!(echoes(&mut old, LONG).await);
            set(&relay, $faults).await;
            assert!(!echoes(&mut old, SHORT).await);
            let mut new = TcpStream::connect(relay.address()).await.unwrap();
            assert!(echoes(&mut new, LONG).await, "new connections are spared");
            set(&relay, RelayFaults::default()).await;
            assert!(!echoes(&mut old, SHORT).await, "a silent connection stays silent");
        }
    )*};
}

stalled! {
    forward_stall_swallows: RelayFaults { forward: STALL, spare_new: true, ..RelayFaults::default() };
    back_stall_swallows: RelayFaults { back: STALL, spare_new: true, ..RelayFaults::default() };
}

#[tokio::test]
async fn cut_closes_open_connections_only() {
    let relay = echo_relay().await;
    let mut old = TcpStream::connect(relay.address()).await.unwrap();
    assert!(echoes(&mut old, LONG).await);
    relay.control().act("cut").await.unwrap();
    let mut buf = [0];
    assert!(matches!(timeout(LONG, old.read(&mut buf)).await, Ok(Ok(0) | Err(_))));
    let mut new = TcpStream::connect(relay.address()).await.unwrap();
    assert!(echoes(&mut new, LONG).await);
}

#[tokio::test]
async fn refused_connection_is_closed_at_once() {
    let relay = echo_relay().await;
    set(&relay, RelayFaults { refuse_new: true, ..RelayFaults::default() }).await;
    let mut new = TcpStream::connect(relay.address()).await.unwrap();
    let mut buf = [0];
    assert!(matches!(timeout(LONG, new.read(&mut buf)).await, Ok(Ok(0) | Err(_))));
}

#[tokio::test]
async fn delay_adds_to_each_direction() {
    let relay = echo_relay().await;
    let mut stream = TcpStream::connect(relay.address()).await.unwrap();
    assert!(echoes(&mut stream, LONG).await);
    let slow = Direction { stall: false, delay_ms: 60 };
    set(&relay, RelayFaults { forward: slow, back: slow, ..RelayFaults::default() }).await;
    let start = Instant::now();
    assert!(echoes(&mut stream, LONG).await);
    assert!(start.elapsed() >= Duration::from_millis(120), "{:?}", start.elapsed());
}

#[tokio::test]
async fn datagrams_pass_and_stall() {
    let far = UdpSocket::bind(ANY).await.unwrap();
    let to = far.local_addr().unwrap();
    let relay = spawn_in_process(ANY, ANY, Protocol::Udp, to).await.unwrap();
    let near = UdpSocket::bind(ANY).await.unwrap();
    near.connect(relay.address()).await.unwrap();
    let mut buf = [0; 16];
    near.send(b"there").await.unwrap();
    let (size, from) = timeout(LONG, far.recv_from(&mut buf)).await.unwrap().unwrap();
    assert_eq!(&buf[..size], b"there");
    far.send_to(b"back", from).await.unwrap();
    let size = timeout(LONG, near.recv(&mut buf)).await.unwrap().unwrap();
    assert_eq!(&buf[..size], b"back");
    set(&relay, RelayFaults { forward: STALL, ..RelayFaults::default() }).await;
    near.send(b"lost").await.unwrap();
    assert!(timeout(SHORT, far.recv_from(&mut buf)).await.is_err());
}

#[tokio::test]
async fn bound_holds_for_all_connections_together() {
    let relay = echo_relay().await;
    let mut streams =
        [connect(&relay).await, connect(&relay).await].map(|stream| (stream, vec![0; 10_000]));
    set(&relay, RelayFaults { back_bytes_per_s: 100_000, ..RelayFaults::default() }).await;
    let start = Instant::now();
    for (stream, buf) in &mut streams {
        stream.write_all(buf).await.unwrap();
    }
    for (stream, buf) in &mut streams {
        timeout(LONG, stream.read_exact(buf)).await.unwrap().unwrap();
    }
    assert!(start.elapsed() >= Duration::from_millis(200), "{:?}", start.elapsed());
}

async fn connect(relay: &Standin) -> TcpStream {
    TcpStream::connect(relay.address()).await.unwrap()
}
