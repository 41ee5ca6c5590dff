use std::str::FromStr;

use bytes::Bytes;
use http::Request;
use http_body_util::{BodyExt, Limited};
use hyper::body::Incoming;

use super::Closed;

/// Largest body that any stand-in reads, so that a test cannot exhaust the machine's memory.
const MAX_BODY: usize = 80 << 20;

/// Returns a value of the request's query.
pub fn query_of<T: FromStr, B>(req: &Request<B>, name: &str) -> Option<T> {
    let query = req.uri().query()?;
    let pairs = query.split('&').filter_map(|pair| pair.split_once('='));
    pairs.filter(|(key, _)| *key == name).find_map(|(_, value)| value.parse().ok())
}

/// Returns a header of the request.
pub fn header_of<T: FromStr, B>(req: &Request<B>, name: &str) -> Option<T> {
    req.headers().get(name)?.to_str().ok()?.parse().ok()
}

/// Reads the request's whole body.
pub async fn body_of(req: Request<Incoming>) -> Result<Bytes, Closed> {
    let limited = Limited::new(req.into_body(), MAX_BODY);
    Ok(limited.collect().await.map_err(|_| Closed)?.to_bytes())
}
