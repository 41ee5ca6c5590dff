use bytes::Bytes;
use http::header::{CONTENT_LENGTH, TRANSFER_ENCODING};
use http::{Method, Response, StatusCode};
use http_body_util::{BodyExt, LengthLimitError, Limited};
use hyper::body::Incoming;

use super::{Exchange, SendError};

/// Reads an answer to its end and makes sure that it is whole.
///
/// A body that only ends with its connection looks the same whether it is whole or cut off. A
/// caller would take half an answer for all of it, so such an answer counts as cut short.
pub(super) async fn read_whole(
    method: &Method,
    answer: Response<Incoming>,
    most: usize,
) -> Result<Exchange, SendError> {
    let (head, body) = answer.into_parts();
    let framed =
        head.headers.contains_key(CONTENT_LENGTH) || head.headers.contains_key(TRANSFER_ENCODING);
    if !framed && may_have_body(method, head.status) {
        return Err(SendError::Truncated("the answer states no length".to_owned()));
    }
    let body = read(body, most).await?;
    Ok(Exchange { status: head.status, headers: head.headers, body })
}

fn may_have_body(method: &Method, status: StatusCode) -> bool {
    method != Method::HEAD
        && !status.is_informational()
        && status != StatusCode::NO_CONTENT
        && status != StatusCode::NOT_MODIFIED
}

async fn read(body: Incoming, most: usize) -> Result<Bytes, SendError> {
    match Limited::new(body, most).collect().await {
        Ok(whole) => Ok(whole.to_bytes()),
        Err(e) if e.is::<LengthLimitError>() => Err(SendError::TooLarge(most)),
        Err(e) => Err(SendError::Truncated(e.to_string())),
    }
}
