use std::convert::Infallible;
use std::future::Future;
use std::pin::pin;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use http::header::CONTENT_TYPE;
use http::{HeaderValue, Method, Request, Response, StatusCode};
use http_body_util::Full;
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::{TokioIo, TokioTimer};
use tokio::net::TcpListener;
use tokio::task::JoinSet;

use super::Metrics;

/// Type of the text format of Prometheus.
const TEXT: HeaderValue = HeaderValue::from_static("text/plain; version=0.0.4; charset=utf-8");
/// Time in which the head of a call must arrive.
const READ_TIME: Duration = Duration::from_secs(5);
/// Connections at once; an agent has few readers, and more would cost it memory.
const CONNECTIONS: usize = 16;

/// Serves `/metrics` alone, as agents do, until `stop` ends.
///
/// Entries serve it with their console instead.
pub async fn serve_metrics(
    listener: TcpListener,
    metrics: Arc<Metrics>,
    stop: impl Future<Output = ()>,
) {
    let mut connections = JoinSet::new();
    let mut stop = pin!(stop);
    loop {
        while connections.try_join_next().is_some() {}
        let room = connections.len() < CONNECTIONS;
        tokio::select! {
            accepted = listener.accept(), if room => match accepted {
                Ok((stream, _)) => {
                    connections.spawn(connection(stream, Arc::clone(&metrics)));
                }
                Err(error) => {
                    spdlog::warn!("metrics: {error}");
                    tokio::time::sleep(Duration::from_millis(100)).await;
                }
            },
            _ = connections.join_next(), if !room => {}
            () = &mut stop => return,
        }
    }
}

async fn connection(stream: tokio::net::TcpStream, metrics: Arc<Metrics>) {
    let service = service_fn(move |req: Request<Incoming>| {
        let response = answer(req.method(), req.uri().path(), &metrics);
        async move { Ok::<_, Infallible>(response) }
    });
    let served = http1::Builder::new()
        .timer(TokioTimer::new())
        .header_read_timeout(READ_TIME)
        .serve_connection(TokioIo::new(stream), service);
    if let Err(error) = served.await {
        spdlog::debug!("metrics connection: {error}");
    }
}

fn answer(method: &Method, path: &str, metrics: &Metrics) -> Response<Full<Bytes>> {
    let (status, text) = match (method, path) {
        (&Method::GET, "/metrics") => match metrics.render() {
            Ok(text) => (StatusCode::OK, text),
            Err(error) => (StatusCode::INTERNAL_SERVER_ERROR, error.to_string()),
        },
        (_, "/metrics") => (StatusCode::METHOD_NOT_ALLOWED, String::new()),
        _ => (StatusCode::NOT_FOUND, String::new()),
    };
    let mut response = Response::new(Full::new(Bytes::from(text)));
    *response.status_mut() = status;
    response.headers_mut().insert(CONTENT_TYPE, TEXT);
    response
}
