//! HTTP server for callers, the balancer and minions.

use std::convert::Infallible;
use std::future::Future;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use eyre::{Result, WrapErr};
use http::{Request, Response, StatusCode};
use http_body_util::Full;
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::{TokioIo, TokioTimer};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;

use crate::open_connections::OpenConnections;

/// A response whose body is held in memory as a whole.
pub type HttpResponse = Response<Full<Bytes>>;

/// Time within which the headers of a request must arrive.
const HEADER_TIMEOUT: Duration = Duration::from_secs(5);
/// Pause after a failed accept, for example when all file descriptors are in use.
const ACCEPT_RETRY_PAUSE: Duration = Duration::from_millis(50);

/// Binds a listening socket.
///
/// # Errors
///
/// Fails if the address is in use.
pub async fn bind(address: SocketAddr) -> Result<TcpListener> {
    TcpListener::bind(address).await.wrap_err_with(|| format!("binding {address}"))
}

/// Serves requests until `stop` turns true, and returns when all requests in flight have been
/// responded to and all connections are closed.
pub async fn serve<H, F>(
    listener: TcpListener,
    mut stop: watch::Receiver<bool>,
    connections: Arc<OpenConnections>,
    handle: H,
) where
    H: Fn(Request<Incoming>) -> F + Clone + Send + 'static,
    F: Future<Output = HttpResponse> + Send + 'static,
{
    loop {
        let accepted = tokio::select! {
            accepted = listener.accept() => accepted,
            () = crate::stop_signal::stopped(&mut stop) => break,
        };
        match accepted {
            Ok((stream, _)) => spawn(stream, &connections, handle.clone()),
            Err(error) => {
                spdlog::warn!("event=accept_failed why=\"{error}\"");
                tokio::time::sleep(ACCEPT_RETRY_PAUSE).await;
            }
        }
    }
    serve_queued(listener, &connections, &handle);
    connections.finish().await;
}

/// Accepts the connections that wait in the queue of the listener, and closes it. Closing a
/// listener resets the connections in its queue, whose clients may have sent requests already.
fn serve_queued<H, F>(listener: TcpListener, connections: &OpenConnections, handle: &H)
where
    H: Fn(Request<Incoming>) -> F + Clone + Send + 'static,
    F: Future<Output = HttpResponse> + Send + 'static,
{
    let Ok(listener) = listener.into_std() else { return };
    while let Ok((stream, _)) = listener.accept() {
        let stream = stream.set_nonblocking(true).and_then(|()| TcpStream::from_std(stream));
        if let Ok(stream) = stream {
            spawn(stream, connections, handle.clone());
        }
    }
}

fn spawn<H, F>(stream: TcpStream, connections: &OpenConnections, handle: H)
where
    H: Fn(Request<Incoming>) -> F + Send + 'static,
    F: Future<Output = HttpResponse> + Send + 'static,
{
    // With Nagle's algorithm, small responses would wait for the peer's acknowledgement.
    let _ = stream.set_nodelay(true);
    let open_connection = connections.begin();
    let requested = open_connection.requested();
    let service = service_fn(move |req| {
        requested.notify_one();
        let response = handle(req);
        async move { Ok::<_, Infallible>(response.await) }
    });
    let connection = http1::Builder::new()
        .timer(TokioTimer::new())
        .header_read_timeout(HEADER_TIMEOUT)
        .serve_connection(TokioIo::new(stream), service);
    tokio::spawn(async move {
        if let Err(error) = open_connection.serve(connection).await {
            spdlog::debug!("event=connection_ended why=\"{error}\"");
        }
    });
}

/// Returns a response without a body.
pub fn empty_response(status: StatusCode) -> HttpResponse {
    let mut response = Response::new(Full::default());
    *response.status_mut() = status;
    response
}
