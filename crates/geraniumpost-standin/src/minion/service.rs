use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use http::{HeaderValue, Request, StatusCode};
use hyper::body::Incoming;

use super::shared::Shared;
use super::{MinionEvent, MinionEventKind, MinionMode, digest, expected_answer};
use crate::http::{Closed, Reply, ReplyBody, body_of, header_of, query_of, status, text};

/// Largest answer a request may ask for.
const MAX_ANSWER: usize = 64 << 20;

/// Runs one request and answers it.
pub(super) async fn answer(shared: Arc<Shared>, req: Request<Incoming>) -> Result<Reply, Closed> {
    let work_ms = header_of(&req, "x-work-ms").or_else(|| query_of(&req, "work_ms"));
    let least = header_of(&req, "x-answer-bytes").or_else(|| query_of(&req, "answer_bytes"));
    let mut event = describe(&shared, &req);
    let body = body_of(req).await?;
    event.body_digest = digest(&body);
    let least: usize = least.unwrap_or(0);
    let whole = expected_answer(&event.request_id, &body, least.min(MAX_ANSWER));
    let id = event.request_id.clone();
    let work_ms = work_ms.unwrap_or(shared.options().work_ms);
    // The run has a task of its own, so that it goes on when its caller disconnects.
    let run = tokio::spawn(run(shared, event, work_ms));
    let mode = run.await.map_err(|_| Closed)?;
    reply(mode, &id, &whole)
}

async fn run(shared: Arc<Shared>, mut event: MinionEvent, work_ms: u64) -> MinionMode {
    let (mode, delay_ms) = shared.draw();
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

fn reply(mode: MinionMode, id: &str, whole: &Bytes) -> Result<Reply, Closed> {
    let mut reply = match mode {
        MinionMode::Close | MinionMode::Hang => return Err(Closed),
        MinionMode::Fail => text(StatusCode::INTERNAL_SERVER_ERROR, "failed on purpose\n"),
        MinionMode::Serve => text(StatusCode::OK, ""),
        MinionMode::Truncate => status(StatusCode::OK),
    };
    match mode {
        MinionMode::Serve => *reply.body_mut() = ReplyBody::from(whole.clone()),
        MinionMode::Truncate => *reply.body_mut() = ReplyBody::cut_short(whole),
        _ => {}
    }
    if let Ok(id) = HeaderValue::from_str(id) {
        reply.headers_mut().insert("x-request-id", id);
    }
    Ok(reply)
}

fn describe(shared: &Shared, req: &Request<Incoming>) -> MinionEvent {
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
