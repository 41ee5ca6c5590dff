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

/// Content type of the text format of Prometheus.
const PROMETHEUS_TEXT: HeaderValue =
    HeaderValue::from_static("text/plain; version=0.0.4; charset=utf-8");
/// Timeout for the head of a request.
const HEAD_TIMEOUT: Duration = Duration::from_secs(5);
/// Maximum number of open connections. Few clients read an agent's metrics, and more connections
/// would cost it memory.
const MAX_CONNECTIONS: usize = 16;

/// Serves only `/metrics` until `stop` completes. Agents use this; entries serve the metrics with
/// their console.
pub async fn serve_metrics(
    listener: TcpListener,
    metrics: Arc<Metrics>,
    stop: impl Future<Output = ()>,
) {
    let mut connections = JoinSet::new();
    let mut stop = pin!(stop);
    loop {
        while connections.try_join_next().is_some() {}
        let below_limit = connections.len() < MAX_CONNECTIONS;
        tokio::select! {
            accepted = listener.accept(), if below_limit => match accepted {
                Ok((stream, _)) => {
                    connections.spawn(connection(stream, Arc::clone(&metrics)));
                }
                Err(error) => {
                    spdlog::warn!("cannot accept a metrics connection: {error}");
                    tokio::time::sleep(Duration::from_millis(100)).await;
                }
            },
            _ = connections.join_next(), if !below_limit => {}
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
        .header_read_timeout(HEAD_TIMEOUT)
        .serve_connection(TokioIo::new(stream), service);
    if let Err(error) = served.await {
        spdlog::debug!("metrics connection failed: {error}");
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
    response.headers_mut().insert(CONTENT_TYPE, PROMETHEUS_TEXT);
    response
}
