//! The minion's heartbeats.

use std::sync::Arc;

use bytes::Bytes;
use geraniumpost_platform::{LEAVE, beat_path, decode_beat};
use http::header::CONTENT_TYPE;
use http::{HeaderValue, Method, Request, StatusCode};
use http_body_util::{BodyExt, Full, Limited};
use hyper::body::Incoming;

use super::super::http_server::{Answer, empty};
use super::state::State;

/// Largest heartbeat in bytes.
const LARGEST: usize = 64 * 1024;

/// Answers one heartbeat.
pub async fn answer(req: Request<Incoming>, state: Arc<State>) -> Answer {
    let Some(id) = beat_path(req.uri().path()).map(str::to_owned) else {
        return empty(StatusCode::NOT_FOUND);
    };
    if req.method() == LEAVE {
        spdlog::info!("event=minion_leaves minion={id}");
        return acknowledged();
    }
    if req.method() != Method::PUT {
        return empty(StatusCode::METHOD_NOT_ALLOWED);
    }
    let body = match Limited::new(req.into_body(), LARGEST).collect().await {
        Ok(body) => body.to_bytes(),
        Err(error) => {
            spdlog::warn!("event=heartbeat_unusable minion={id} why=\"{error}\"");
            return empty(StatusCode::BAD_REQUEST);
        }
    };
    match decode_beat(&id, &body) {
        Ok(info) => {
            state.heard(info);
            acknowledged()
        }
        Err(error) => {
            spdlog::warn!("event=heartbeat_unusable minion={id} why=\"{error}\"");
            empty(StatusCode::BAD_REQUEST)
        }
    }
}

fn acknowledged() -> Answer {
    let mut answer = Answer::new(Full::new(Bytes::from_static(b"{}")));
    answer.headers_mut().insert(CONTENT_TYPE, HeaderValue::from_static("application/json"));
    answer
}
