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

/// Delay before binding to the port is tried again while another process uses it.
const REBIND_PAUSE: Duration = Duration::from_millis(10);
/// Limit on connections that wait to be accepted.
const BACKLOG: u32 = 1024;

/// Present and highest number of open connections of a server.
#[derive(Debug, Default)]
pub struct ConnectionCount {
    open: AtomicUsize,
    highest: AtomicUsize,
}

impl ConnectionCount {
    /// Returns the number of open connections.
    pub fn open(&self) -> usize {
        self.open.load(Ordering::Relaxed)
    }

    /// Returns the highest number of connections that have been open at the same time.
    pub fn highest(&self) -> usize {
        self.highest.load(Ordering::Relaxed)
    }

    fn increment(self: Arc<Self>) -> CountGuard {
        let open = self.open.fetch_add(1, Ordering::Relaxed) + 1;
        self.highest.fetch_max(open, Ordering::Relaxed);
        CountGuard(self)
    }
}

/// Guard that counts one connection as open until it is dropped.
struct CountGuard(Arc<ConnectionCount>);

impl Drop for CountGuard {
    fn drop(&mut self) {
        self.0.open.fetch_sub(1, Ordering::Relaxed);
    }
}

/// An HTTP/1.1 server that can be taken out of service in the ways of [`Down`].
#[derive(Debug)]
pub struct Server {
    listener: TcpListener,
    address: SocketAddr,
    down: watch::Receiver<Down>,
    count: Arc<ConnectionCount>,
}

impl Server {
    /// Binds to `address`; with port 0 the system chooses a free port.
    pub async fn bind(address: SocketAddr, down: watch::Receiver<Down>) -> Result<Self> {
        let listener = TcpListener::bind(address).await;
        let listener = listener.wrap_err_with(|| format!("bind to {address}"))?;
        let address = listener.local_addr()?;
        Ok(Self { listener, address, down, count: Arc::default() })
    }

    /// Returns the address to which the server is bound.
    pub const fn address(&self) -> SocketAddr {
        self.address
    }

    /// Returns the counter of connections.
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
                        let count_guard = Arc::clone(&self.count).increment();
                        let down = self.down.clone();
                        connections.spawn(serve(stream, count_guard, down, handler.clone()));
                    }
                }
                () = wait_until(&mut down, |d| d == Down::Refuse) => {}
                Some(_) = connections.join_next() => {}
            }
        }
    }

    /// Refuses connections until the fault is removed.
    ///
    /// Meanwhile a bound socket that does not listen reserves the port. The system could otherwise
    /// assign it to another process, to which the clients would then connect.
    async fn refuse(self) -> Self {
        let Self { listener, address, mut down, count } = self;
        drop(listener);
        let placeholder = bind_socket(address).await;
        wait_until(&mut down, |d| d != Down::Refuse).await;
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

/// Waits until the fault satisfies `condition`. Never returns if the fault can no longer change.
async fn wait_until(down: &mut watch::Receiver<Down>, condition: impl Fn(Down) -> bool) {
    if down.wait_for(|d| condition(*d)).await.is_err() {
        std::future::pending::<()>().await;
    }
}

async fn serve<H, F>(
    stream: TcpStream,
    count_guard: CountGuard,
    mut down: watch::Receiver<Down>,
    handler: H,
) where
    H: Fn(Request<Incoming>) -> F + Clone + Send + Sync + 'static,
    F: Future<Output = Result<Reply, Closed>> + Send + 'static,
{
    let _ = stream.set_nodelay(true);
    let request_down = down.clone();
    let service =
        service_fn(move |req| handle_unless_down(request_down.clone(), handler.clone(), req));
    let connection = http1::Builder::new().serve_connection(TokioIo::new(stream), service);
    tokio::select! {
        _ = connection => {}
        () = wait_until(&mut down, Down::closes_connections) => {}
    }
    drop(count_guard);
}

async fn handle_unless_down<H, F>(
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
            wait_until(&mut down, |d| d != Down::Hang).await;
            Err(Closed)
        }
    }
}
