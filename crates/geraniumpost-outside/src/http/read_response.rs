use std::time::Duration;

use bytes::{Bytes, BytesMut};
use http::header::{CONTENT_LENGTH, TRANSFER_ENCODING};
use http::{Method, Response, StatusCode};
use http_body_util::BodyExt;
use hyper::body::{Body, Incoming};

use super::{FullResponse, SendError};

/// Reads a response to its end and ensures that it is complete.
///
/// A body that is delimited only by the end of the connection looks the same whether it is complete
/// or truncated, so such a response counts as truncated.
pub(super) async fn read_response(
    method: &Method,
    response: Response<Incoming>,
    max_bytes: usize,
    idle_timeout: Duration,
) -> Result<FullResponse, SendError> {
    let (head, body) = response.into_parts();
    let has_length =
        head.headers.contains_key(CONTENT_LENGTH) || head.headers.contains_key(TRANSFER_ENCODING);
    if !has_length && may_have_body(method, head.status) {
        return Err(SendError::Truncated("the response has no length".to_owned()));
    }
    let body = read_body(body, max_bytes, idle_timeout).await?;
    Ok(FullResponse { status: head.status, headers: head.headers, body })
}

fn may_have_body(method: &Method, status: StatusCode) -> bool {
    method != Method::HEAD
        && !status.is_informational()
        && status != StatusCode::NO_CONTENT
        && status != StatusCode::NOT_MODIFIED
}

/// Reads a body of at most `max_bytes`; fails if nothing arrives for `idle_timeout`.
async fn read_body(
    mut body: Incoming,
    max_bytes: usize,
    idle_timeout: Duration,
) -> Result<Bytes, SendError> {
    let declared = body.size_hint().lower().min(max_bytes as u64);
    let mut buf = BytesMut::with_capacity(declared as usize);
    loop {
        let frame = tokio::time::timeout(idle_timeout, body.frame()).await;
        let Some(frame) = frame.map_err(|_| SendError::TimedOut)? else {
            return Ok(buf.freeze());
        };
        let frame = frame.map_err(|e| SendError::Truncated(e.to_string()))?;
        let Ok(data) = frame.into_data() else { continue };
        if buf.len() + data.len() > max_bytes {
            return Err(SendError::TooLarge(max_bytes));
        }
        buf.extend_from_slice(&data);
    }
}
