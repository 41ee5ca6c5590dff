//! Handles the minion's heartbeats and its deregistration.

use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;

use bytes::Bytes;
use geraniumpost_batch::Incarnation;
use geraniumpost_platform::{
    DEREGISTER_METHOD, MinionReply, decode_heartbeat, heartbeat_minion_id,
};
use geraniumpost_schema::Name;
use http::header::CONTENT_TYPE;
use http::{HeaderValue, Method, Request, StatusCode};
use http_body_util::{BodyExt, Full, Limited};
use hyper::body::Incoming;

use super::super::http_server::{HttpResponse, empty_response};
use super::state::State;

/// Pause before each check of whether a deregistered minion has terminated. By the platform's
/// protocol the minion terminates as soon as it receives the response to its deregistration; the
/// pause allows for a slow machine.
const TERMINATION_CHECK_PAUSE: Duration = Duration::from_millis(300);
/// Timeout of each poll that checks whether a deregistered minion is still running.
const POLL_TIMEOUT: Duration = Duration::from_millis(600);
/// Maximum length of the body of a heartbeat, in bytes.
const MAX_HEARTBEAT_BYTES: usize = 64 * 1024;

/// Handles the HTTP request by which a minion sends a heartbeat or deregisters.
pub async fn respond(req: Request<Incoming>, state: Arc<State>) -> HttpResponse {
    let Some(id) = heartbeat_minion_id(req.uri().path()).map(str::to_owned) else {
        return empty_response(StatusCode::NOT_FOUND);
    };
    if req.method() == DEREGISTER_METHOD {
        spdlog::info!("event=minion_deregistered minion={id}");
        for incarnation in state.record_deregistration(&id.into()) {
            tokio::spawn(await_termination(incarnation, Arc::clone(&state)));
        }
        return acknowledgement();
    }
    if req.method() != Method::PUT {
        return empty_response(StatusCode::METHOD_NOT_ALLOWED);
    }
    let body = match Limited::new(req.into_body(), MAX_HEARTBEAT_BYTES).collect().await {
        Ok(body) => body.to_bytes(),
        Err(error) => {
            spdlog::warn!("event=heartbeat_unusable minion={id} why=\"{error}\"");
            return empty_response(StatusCode::BAD_REQUEST);
        }
    };
    match decode_heartbeat(&id, &body) {
        Ok(info) => {
            state.record_heartbeat(info);
            acknowledgement()
        }
        Err(error) => {
            spdlog::warn!("event=heartbeat_unusable minion={id} why=\"{error}\"");
            empty_response(StatusCode::BAD_REQUEST)
        }
    }
}

/// Waits until a minion that has deregistered no longer responds, and records that it has
/// terminated.
///
/// The minion's tasks end when the minion terminates. If the coordinator waited until the lease
/// expires, the tasks would be restarted elsewhere seconds later, or only after a store outage. A
/// minion ignores a late response to its deregistration, for example after a pause of this process,
/// and keeps running for some seconds. Without this check its tasks would be restarted elsewhere
/// while they are still running.
async fn await_termination(id: Name, state: Arc<State>) {
    let mut still_running = false;
    loop {
        tokio::time::sleep(TERMINATION_CHECK_PAUSE).await;
        let fence = state.fence.load(Ordering::SeqCst);
        let poll = state.minion.poll(&id, fence, 0, None, Duration::ZERO, POLL_TIMEOUT);
        let is_running = match poll.await {
            MinionReply::Ok(_) | MinionReply::Superseded => true,
            // The start time of the minion is unknown, so the process that responded may be it.
            MinionReply::IncarnationMismatch(Some(responded)) => {
                Incarnation::may_be_same_process(&responded, &id)
            }
            _ => false,
        };
        if !is_running {
            break;
        }
        if !std::mem::replace(&mut still_running, true) {
            spdlog::info!("event=minion_still_running minion={id}");
        }
    }
    state.record_terminated(&id);
}

fn acknowledgement() -> HttpResponse {
    let mut response = HttpResponse::new(Full::new(Bytes::from_static(b"{}")));
    response.headers_mut().insert(CONTENT_TYPE, HeaderValue::from_static("application/json"));
    response
}
