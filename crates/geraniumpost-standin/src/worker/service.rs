use std::sync::Arc;
use std::time::Duration;

use http::{Method, Request, StatusCode};
use hyper::body::Incoming;

use super::shared::Shared;
use super::{Refusal, StartOrder, Starting};
use crate::http::{Closed, Reply, body_of, json, query_of, status, text};

/// Answers one call.
pub(super) async fn answer(shared: Arc<Shared>, req: Request<Incoming>) -> Result<Reply, Closed> {
    tokio::time::sleep(Duration::from_millis(shared.faults().slow_ms)).await;
    let method = req.method().clone();
    let path = req.uri().path().to_owned();
    let reply = match path.strip_prefix("/v1/tasks").map(|rest| rest.trim_start_matches('/')) {
        Some("") if method == Method::GET => json(&shared.change(|state, now| state.list(now))),
        Some(target) if !target.is_empty() => change(&shared, &method, target, req).await?,
        _ => status(StatusCode::NOT_FOUND),
    };
    if method != Method::GET && shared.loses_reply() { Err(Closed) } else { Ok(reply) }
}

async fn change(
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
        (&Method::DELETE, "", ..) => plain(shared.change(|state, _| state.forget(id))),
        (&Method::POST, "renew", Some(lease_ms), _) => {
            plain(shared.change(|state, now| state.renew(id, lease_ms, now)))
        }
        (&Method::POST, "throttle", _, Some(permille)) => {
            plain(shared.change(|state, now| state.throttle(id, permille, now)))
        }
        (&Method::POST, "stop", ..) => plain(shared.change(|state, now| state.stop(id, now))),
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
    Ok(match shared.change(|state, now| state.start(id, &order, broken, now)) {
        Ok(Starting::New) => status(StatusCode::CREATED),
        Ok(Starting::Repeated) => status(StatusCode::OK),
        Err(refusal) => refused(refusal),
    })
}

fn checkpoint(shared: &Shared, id: &str) -> Reply {
    match shared.change(|state, now| state.checkpoint(id, now)) {
        Ok(name) => text(StatusCode::OK, name),
        Err(refusal) => refused(refusal),
    }
}

fn plain(result: Result<(), Refusal>) -> Reply {
    result.map_or_else(refused, |()| status(StatusCode::NO_CONTENT))
}

fn refused(refusal: Refusal) -> Reply {
    let code = match refusal {
        Refusal::Unknown => StatusCode::NOT_FOUND,
        Refusal::State => StatusCode::CONFLICT,
        Refusal::Order => StatusCode::BAD_REQUEST,
    };
    text(code, refusal.to_string())
}
