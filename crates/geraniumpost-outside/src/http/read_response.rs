use std::time::Duration;

use bytes::{Bytes, BytesMut};
use http::header::{CONTENT_LENGTH, TRANSFER_ENCODING};
use http::{Method, Response, StatusCode};
use http_body_util::BodyExt;
use hyper::body::{Body, Incoming};

use super::{FullResponse, SendError};

/// Reads an answer to its end and makes sure that it is whole.
///
/// A body that only ends with its connection looks the same whether it is whole or cut off. A
/// caller would take half an answer for all of it, so such an answer counts as cut short.
pub(super) async fn read_response(
    method: &Method,
    answer: Response<Incoming>,
    most: usize,
    silence: Duration,
) -> Result<FullResponse, SendError> {
    let (head, body) = answer.into_parts();
    let framed =
        head.headers.contains_key(CONTENT_LENGTH) || head.headers.contains_key(TRANSFER_ENCODING);
    if !framed && may_have_body(method, head.status) {
        return Err(SendError::Truncated("the answer states no length".to_owned()));
    }
    let body = read(body, most, silence).await?;
    Ok(FullResponse { status: head.status, headers: head.headers, body })
}

fn may_have_body(method: &Method, status: StatusCode) -> bool {
    method != Method::HEAD
        && !status.is_informational()
        && status != StatusCode::NO_CONTENT
        && status != StatusCode::NOT_MODIFIED
}

/// Reads a body of at most `most` bytes, as long as something arrives within each `silence`.
async fn read(mut body: Incoming, most: usize, silence: Duration) -> Result<Bytes, SendError> {
    let declared = body.size_hint().lower().min(most as u64);
    let mut whole = BytesMut::with_capacity(declared as usize);
    loop {
        let frame = tokio::time::timeout(silence, body.frame()).await;
        let Some(frame) = frame.map_err(|_| SendError::TimedOut)? else {
            return Ok(whole.freeze());
        };
        let frame = frame.map_err(|e| SendError::Truncated(e.to_string()))?;
        let Ok(data) = frame.into_data() else { continue };
        if whole.len() + data.len() > most {
            return Err(SendError::TooLarge(most));
        }
        whole.extend_from_slice(&data);
    }
}
