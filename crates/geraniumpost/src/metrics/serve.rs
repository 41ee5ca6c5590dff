use std::convert::Infallible;
use std::net::SocketAddr;
use std::sync::Arc;

use bytes::Bytes;
use eyre::{Result, WrapErr};
use http::{Request, Response, StatusCode};
use http_body_util::Full;
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::{TokioIo, TokioTimer};
use tokio::net::TcpListener;

use super::Metrics;

/// Serves the metrics of a process that has no console, until the process ends.
///
/// # Errors
///
/// Fails if the address cannot be had.
pub async fn serve(address: SocketAddr, metrics: Arc<Metrics>) -> Result<()> {
    let listener = TcpListener::bind(address).await;
    let listener = listener.wrap_err_with(|| format!("metrics on {address}"))?;
    tokio::spawn(async move {
        while let Ok((stream, _)) = listener.accept().await {
            let metrics = Arc::clone(&metrics);
            let service = service_fn(move |req| {
                let answer = answer(&metrics, &req);
                async move { Ok::<_, Infallible>(answer) }
            });
            let builder = http1::Builder::new().timer(TokioTimer::new()).clone();
            // A reader that breaks off harms nobody.
            tokio::spawn(builder.serve_connection(TokioIo::new(stream), service));
        }
    });
    Ok(())
}

fn answer(metrics: &Metrics, req: &Request<Incoming>) -> Response<Full<Bytes>> {
    let (status, text) = match (req.uri().path(), metrics.render()) {
        ("/metrics", Ok(text)) => (StatusCode::OK, text),
        ("/metrics", Err(error)) => (StatusCode::INTERNAL_SERVER_ERROR, error.to_string()),
        _ => (StatusCode::NOT_FOUND, "metrics are at /metrics\n".to_owned()),
    };
    let mut answer = Response::new(Full::new(Bytes::from(text)));
    *answer.status_mut() = status;
    answer
}
