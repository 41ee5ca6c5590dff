use bytes::Bytes;
use http::header::CONTENT_TYPE;
use http::{Response, StatusCode};
use serde::Serialize;

use super::ReplyBody;

/// A response of a stand-in.
pub type Reply = Response<ReplyBody>;

/// Builds a response without a body.
pub fn status(code: StatusCode) -> Reply {
    let mut reply = Response::new(ReplyBody::from(Bytes::new()));
    *reply.status_mut() = code;
    reply
}

/// Builds a response with a line of text.
pub fn text(code: StatusCode, line: impl Into<String>) -> Reply {
    let mut reply = status(code);
    *reply.body_mut() = Bytes::from(line.into()).into();
    reply
}

/// Builds a successful response with a JSON body.
pub fn json<T: Serialize>(value: &T) -> Reply {
    let body = serde_json::to_vec(value).unwrap_or_default();
    let mut reply = Response::new(ReplyBody::from(Bytes::from(body)));
    reply.headers_mut().insert(CONTENT_TYPE, http::HeaderValue::from_static("application/json"));
    reply
}
