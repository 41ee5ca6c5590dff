use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use http::{HeaderValue, Request, StatusCode};
use hyper::body::Incoming;

use super::shared::Shared;
use super::{MinionEvent, MinionEventKind, MinionMode, digest, expected_answer};
use crate::http::{Closed, Reply, ReplyBody, body_of, header_of, query_of, status, text};

/// Limit on the response length that a request may ask for.
const MAX_RESPONSE_BYTES: usize = 64 << 20;

/// Runs one request and responds.
pub(super) async fn handle(shared: Arc<Shared>, req: Request<Incoming>) -> Result<Reply, Closed> {
    let work_ms = header_of(&req, "x-work-ms").or_else(|| query_of(&req, "work_ms"));
    let min_bytes = header_of(&req, "x-answer-bytes").or_else(|| query_of(&req, "answer_bytes"));
    let mut event = new_event(&shared, &req);
    let body = body_of(req).await?;
    event.body_digest = digest(&body);
    let min_bytes: usize = min_bytes.unwrap_or(0);
    let response_body =
        expected_answer(&event.request_id, &body, min_bytes.min(MAX_RESPONSE_BYTES));
    let id = event.request_id.clone();
    let work_ms = work_ms.unwrap_or(shared.options().work_ms);
    // The run has its own task, so that it continues after its client disconnects.
    let run = tokio::spawn(run(shared, event, work_ms));
    let mode = run.await.map_err(|_| Closed)?;
    reply(mode, &id, &response_body)
}

async fn run(shared: Arc<Shared>, mut event: MinionEvent, work_ms: u64) -> MinionMode {
    let (mode, delay_ms) = shared.draw_mode();
    shared.begin(&mut event);
    match mode {
        MinionMode::Fail => {}
        MinionMode::Hang => std::future::pending().await,
        _ => {
            let time = Duration::from_millis(work_ms.saturating_add(delay_ms));
            if !time.is_zero() {
                tokio::time::sleep(time).await;
            }
        }
    }
    shared.end(event);
    mode
}

fn reply(mode: MinionMode, id: &str, response_body: &Bytes) -> Result<Reply, Closed> {
    let mut reply = match mode {
        MinionMode::Close | MinionMode::Hang => return Err(Closed),
        MinionMode::Fail => text(StatusCode::INTERNAL_SERVER_ERROR, "failed on purpose\n"),
        MinionMode::Serve => text(StatusCode::OK, ""),
        MinionMode::Truncate => status(StatusCode::OK),
    };
    match mode {
        MinionMode::Serve => *reply.body_mut() = ReplyBody::from(response_body.clone()),
        MinionMode::Truncate => *reply.body_mut() = ReplyBody::truncated(response_body),
        _ => {}
    }
    if let Ok(id) = HeaderValue::from_str(id) {
        reply.headers_mut().insert("x-request-id", id);
    }
    Ok(reply)
}

fn new_event(shared: &Shared, req: &Request<Incoming>) -> MinionEvent {
    MinionEvent {
        at_us: 0,
        minion: shared.options().name.clone(),
        run: 0,
        kind: MinionEventKind::Started,
        request_id: header_of(req, "x-request-id").unwrap_or_default(),
        key: header_of(req, "idempotency-key").unwrap_or_default(),
        target: format!("{} {}", req.method(), req.uri().path()),
        body_digest: String::new(),
    }
}
