use std::net::SocketAddr;

use bytes::Bytes;
use eyre::Result;
use http::{Method, Request, StatusCode};
use http_body_util::{BodyExt, Full};
use hyper::client::conn::http1;
use hyper_util::rt::TokioIo;
use tokio::net::TcpStream;

/// Sends one request over a new connection and reads the complete response.
pub async fn fetch(
    address: SocketAddr,
    method: Method,
    path: &str,
    body: Bytes,
) -> Result<(StatusCode, Bytes)> {
    let stream = TcpStream::connect(address).await?;
    let (mut sender, connection) = http1::handshake(TokioIo::new(stream)).await?;
    let driver = tokio::spawn(connection);
    let req = Request::builder()
        .method(method)
        .uri(path)
        .header("host", address.to_string())
        .body(Full::new(body))?;
    let (head, incoming) = sender.send_request(req).await?.into_parts();
    let body = incoming.collect().await?.to_bytes();
    driver.abort();
    Ok((head.status, body))
}
