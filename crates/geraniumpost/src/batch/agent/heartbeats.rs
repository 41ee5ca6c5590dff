//! The minion's heartbeats.

use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;

use bytes::Bytes;
use geraniumpost_platform::{
    DEREGISTER_METHOD, MinionReply, decode_heartbeat, heartbeat_minion_id,
};
use geraniumpost_schema::Name;
use http::header::CONTENT_TYPE;
use http::{HeaderValue, Method, Request, StatusCode};
use http_body_util::{BodyExt, Full, Limited};
use hyper::body::Incoming;

use super::super::http_server::{Answer, empty};
use super::state::State;

/// Time from a minion's farewell until it is looked whether it has ended. By its protocol it ends as soon
/// as the farewell is answered; this is for a slow machine.
const FAREWELL: Duration = Duration::from_millis(300);
/// Time that the minion is given to answer that look, if it is there all the same.
const LOOK_TIMEOUT: Duration = Duration::from_millis(600);
/// Largest heartbeat in bytes.
const LARGEST: usize = 64 * 1024;

/// Answers one heartbeat.
pub async fn answer(req: Request<Incoming>, state: Arc<State>) -> Answer {
    let Some(id) = heartbeat_minion_id(req.uri().path()).map(str::to_owned) else {
        return empty(StatusCode::NOT_FOUND);
    };
    if req.method() == DEREGISTER_METHOD {
        spdlog::info!("event=minion_leaves minion={id}");
        let id = id.into();
        state.leaves(&id);
        tokio::spawn(ended_soon(id, state));
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
    match decode_heartbeat(&id, &body) {
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

/// Takes a minion that said its farewell for ended after a moment, if it answers no more.
///
/// Its tasks end with it. Were they only taken for ended once their lease has lapsed, their users
/// would wait for seconds more, or for as long as the store is away. But a minion whose farewell was
/// answered late, as this process stood still, took that for no answer and goes on for some seconds. Its
/// tasks would begin elsewhere while they run.
async fn ended_soon(id: Name, state: Arc<State>) {
    let mut lingers = false;
    loop {
        tokio::time::sleep(FAREWELL).await;
        let fence = state.fence.load(Ordering::SeqCst);
        let look = state.minion.poll(&id, fence, 0, None, Duration::ZERO, LOOK_TIMEOUT);
        if !matches!(look.await, MinionReply::Ok(_) | MinionReply::Superseded) {
            break;
        }
        if !std::mem::replace(&mut lingers, true) {
            spdlog::info!("event=minion_lingers minion={id}");
        }
    }
    state.left(&id);
}

fn acknowledged() -> Answer {
    let mut answer = Answer::new(Full::new(Bytes::from_static(b"{}")));
    answer.headers_mut().insert(CONTENT_TYPE, HeaderValue::from_static("application/json"));
    answer
}
