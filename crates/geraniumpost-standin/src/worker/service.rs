use std::sync::Arc;
use std::time::Duration;

use http::{Method, Request, StatusCode};
use hyper::body::Incoming;

use super::shared::Shared;
use super::{Refusal, StartOrder, StartResult};
use crate::http::{Closed, Reply, body_of, json, query_of, status, text};

/// Handles one call.
pub(super) async fn handle(shared: Arc<Shared>, req: Request<Incoming>) -> Result<Reply, Closed> {
    tokio::time::sleep(Duration::from_millis(shared.faults().slow_ms)).await;
    let method = req.method().clone();
    let path = req.uri().path().to_owned();
    let reply = match path.strip_prefix("/v1/tasks").map(|rest| rest.trim_start_matches('/')) {
        Some("") if method == Method::GET => json(&shared.update(|state, now| state.list(now))),
        Some(target) if !target.is_empty() => handle_change(&shared, &method, target, req).await?,
        _ => status(StatusCode::NOT_FOUND),
    };
    if method != Method::GET && shared.take_reply_loss() { Err(Closed) } else { Ok(reply) }
}

async fn handle_change(
    shared: &Shared,
    method: &Method,
    target: &str,
    req: Request<Incoming>,
) -> Result<Reply, Closed> {
    let (id, action) = target.split_once('/').unwrap_or((target, ""));
    let lease_ms = query_of(&req, "lease_ms");
    let permille = query_of(&req, "permille");
    Ok(match (method, action, lease_ms, permille) {
        (&Method::PUT, "", ..) => start(shared, id, req).await?,
        (&Method::DELETE, "", ..) => reply_without_body(shared.update(|state, _| state.forget(id))),
        (&Method::POST, "renew", Some(lease_ms), _) => {
            reply_without_body(shared.update(|state, now| state.renew(id, lease_ms, now)))
        }
        (&Method::POST, "throttle", _, Some(permille)) => {
            reply_without_body(shared.update(|state, now| state.throttle(id, permille, now)))
        }
        (&Method::POST, "stop", ..) => {
            reply_without_body(shared.update(|state, now| state.stop(id, now)))
        }
        (&Method::POST, "checkpoint", ..) => checkpoint(shared, id),
        _ => status(StatusCode::BAD_REQUEST),
    })
}

async fn start(shared: &Shared, id: &str, req: Request<Incoming>) -> Result<Reply, Closed> {
    let body = body_of(req).await?;
    let order: StartOrder = match serde_json::from_slice(&body) {
        Ok(order) => order,
        Err(e) => return Ok(text(StatusCode::BAD_REQUEST, e.to_string())),
    };
    let broken = shared.faults().fail_starts;
    Ok(match shared.update(|state, now| state.start(id, &order, broken, now)) {
        Ok(StartResult::New) => status(StatusCode::CREATED),
        Ok(StartResult::Repeated) => status(StatusCode::OK),
        Err(refusal) => reply_to_refusal(refusal),
    })
}

fn checkpoint(shared: &Shared, id: &str) -> Reply {
    match shared.update(|state, now| state.checkpoint(id, now)) {
        Ok(name) => text(StatusCode::OK, name),
        Err(refusal) => reply_to_refusal(refusal),
    }
}

fn reply_without_body(result: Result<(), Refusal>) -> Reply {
    result.map_or_else(reply_to_refusal, |()| status(StatusCode::NO_CONTENT))
}

fn reply_to_refusal(refusal: Refusal) -> Reply {
    let code = match refusal {
        Refusal::UnknownTask => StatusCode::NOT_FOUND,
        Refusal::WrongState => StatusCode::CONFLICT,
        Refusal::InvalidCommand => StatusCode::BAD_REQUEST,
    };
    text(code, refusal.to_string())
}
