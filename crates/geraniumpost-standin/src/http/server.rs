use std::future::Future;
use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::Duration;

use eyre::{Result, WrapErr};
use http::{Request, StatusCode};
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::TokioIo;
use tokio::net::{TcpListener, TcpSocket, TcpStream};
use tokio::sync::watch;
use tokio::task::JoinSet;

use super::{Closed, Down, Reply, status};

/// Pause before the port is tried again when something else holds it for a moment.
const REBIND_PAUSE: Duration = Duration::from_millis(10);
/// Connections that may wait to be accepted.
const BACKLOG: u32 = 1024;

/// Open connections of a server, now and at most.
#[derive(Debug, Default)]
pub struct ConnectionCount {
    open: AtomicUsize,
    most: AtomicUsize,
}

impl ConnectionCount {
    /// Returns the connections that are open now.
    pub fn open(&self) -> usize {
        self.open.load(Ordering::Relaxed)
    }

    /// Returns the most connections that were ever open at once.
    pub fn most(&self) -> usize {
        self.most.load(Ordering::Relaxed)
    }

    fn enter(self: Arc<Self>) -> Counted {
        let open = self.open.fetch_add(1, Ordering::Relaxed) + 1;
        self.most.fetch_max(open, Ordering::Relaxed);
        Counted(self)
    }
}

/// Counts one connection until it is dropped.
struct Counted(Arc<ConnectionCount>);

impl Drop for Counted {
    fn drop(&mut self) {
        self.0.open.fetch_sub(1, Ordering::Relaxed);
    }
}

/// An HTTP/1.1 server that can play dead in the ways of [`Down`].
#[derive(Debug)]
pub struct Server {
    listener: TcpListener,
    address: SocketAddr,
    down: watch::Receiver<Down>,
    count: Arc<ConnectionCount>,
}

impl Server {
    /// Binds to `address`; port 0 takes any free port.
    pub async fn bind(address: SocketAddr, down: watch::Receiver<Down>) -> Result<Self> {
        let listener = TcpListener::bind(address).await;
        let listener = listener.wrap_err_with(|| format!("bind to {address}"))?;
        let address = listener.local_addr()?;
        Ok(Self { listener, address, down, count: Arc::default() })
    }

    /// Returns the address it is bound to.
    pub const fn address(&self) -> SocketAddr {
        self.address
    }

    /// Returns the counter of its connections.
    pub fn connections(&self) -> Arc<ConnectionCount> {
        Arc::clone(&self.count)
    }

    /// Serves until the returned future is dropped.
    pub async fn run<H, F>(mut self, handler: H)
    where
        H: Fn(Request<Incoming>) -> F + Clone + Send + Sync + 'static,
        F: Future<Output = Result<Reply, Closed>> + Send + 'static,
    {
        let mut connections = JoinSet::new();
        loop {
            if *self.down.borrow() == Down::Refuse {
                connections.shutdown().await;
                self = self.refuse().await;
            }
            let mut down = self.down.clone();
            tokio::select! {
                accepted = self.listener.accept() => {
                    if let Ok((stream, _)) = accepted {
                        let counted = Arc::clone(&self.count).enter();
                        let down = self.down.clone();
                        connections.spawn(serve(stream, counted, down, handler.clone()));
                    }
                }
                () = until(&mut down, |d| d == Down::Refuse) => {}
                Some(_) = connections.join_next() => {}
            }
        }
    }

    /// Refuses connections until the fault is taken back.
    ///
    /// A bound socket that does not listen keeps the port, which another process could otherwise
    /// be given in the meantime; its clients would then talk to a stranger.
    async fn refuse(self) -> Self {
        let Self { listener, address, mut down, count } = self;
        drop(listener);
        let placeholder = bind_socket(address).await;
        until(&mut down, |d| d != Down::Refuse).await;
        let listener = match placeholder.listen(BACKLOG) {
            Ok(listener) => listener,
            Err(_) => rebind(address).await,
        };
        Self { listener, address, down, count }
    }
}

async fn bind_socket(address: SocketAddr) -> TcpSocket {
    loop {
        if let Ok(socket) = try_bind(address) {
            return socket;
        }
        tokio::time::sleep(REBIND_PAUSE).await;
    }
}

fn try_bind(address: SocketAddr) -> io::Result<TcpSocket> {
    let socket = if address.is_ipv4() { TcpSocket::new_v4()? } else { TcpSocket::new_v6()? };
    socket.set_reuseaddr(true)?;
    socket.bind(address)?;
    Ok(socket)
}

async fn rebind(address: SocketAddr) -> TcpListener {
    loop {
        if let Ok(listener) = TcpListener::bind(address).await {
            return listener;
        }
        tokio::time::sleep(REBIND_PAUSE).await;
    }
}

/// Waits until the fault satisfies `wanted`; never ends if the fault can no longer change.
async fn until(down: &mut watch::Receiver<Down>, wanted: impl Fn(Down) -> bool) {
    if down.wait_for(|d| wanted(*d)).await.is_err() {
        std::future::pending::<()>().await;
    }
}

async fn serve<H, F>(
    stream: TcpStream,
    counted: Counted,
    mut down: watch::Receiver<Down>,
    handler: H,
) where
    H: Fn(Request<Incoming>) -> F + Clone + Send + Sync + 'static,
    F: Future<Output = Result<Reply, Closed>> + Send + 'static,
{
    let _ = stream.set_nodelay(true);
    let gate = down.clone();
    let service = service_fn(move |req| gated(gate.clone(), handler.clone(), req));
    let connection = http1::Builder::new().serve_connection(TokioIo::new(stream), service);
    tokio::select! {
        _ = connection => {}
        () = until(&mut down, Down::closes) => {}
    }
    drop(counted);
}

async fn gated<H, F>(
    mut down: watch::Receiver<Down>,
    handler: H,
    req: Request<Incoming>,
) -> Result<Reply, Closed>
where
    H: Fn(Request<Incoming>) -> F,
    F: Future<Output = Result<Reply, Closed>>,
{
    let current = *down.borrow();
    match current {
        Down::No => handler(req).await,
        Down::Unavailable => Ok(status(StatusCode::SERVICE_UNAVAILABLE)),
        Down::Refuse | Down::Close => Err(Closed),
        Down::Hang => {
            until(&mut down, |d| d != Down::Hang).await;
            Err(Closed)
        }
    }
}
