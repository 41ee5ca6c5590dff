use std::str::FromStr;

use bytes::Bytes;
use http::Request;
use http_body_util::{BodyExt, Limited};
use hyper::body::Incoming;

use super::Closed;

/// Limit on request bodies, so that a test cannot exhaust the memory of the machine.
const MAX_BODY_BYTES: usize = 80 << 20;

/// Returns a parameter of the query, if it is present and valid.
pub fn query_of<T: FromStr, B>(req: &Request<B>, name: &str) -> Option<T> {
    let query = req.uri().query()?;
    let pairs = query.split('&').filter_map(|pair| pair.split_once('='));
    pairs.filter(|(key, _)| *key == name).find_map(|(_, value)| value.parse().ok())
}

/// Returns the value of a header, if it is present and valid.
pub fn header_of<T: FromStr, B>(req: &Request<B>, name: &str) -> Option<T> {
    req.headers().get(name)?.to_str().ok()?.parse().ok()
}

/// Reads the complete body of a request.
pub async fn body_of(req: Request<Incoming>) -> Result<Bytes, Closed> {
    let limited = Limited::new(req.into_body(), MAX_BODY_BYTES);
    Ok(limited.collect().await.map_err(|_| Closed)?.to_bytes())
}
