use std::sync::Arc;
use std::time::Duration;

use http::header::{ETAG, IF_MATCH, IF_NONE_MATCH};
use http::{HeaderValue, Method, Request, StatusCode};
use hyper::body::Incoming;

use super::shared::Shared;
use super::{Call, Entry, Expect, MAX_VALUE_BYTES, WriteResult};
use crate::http::{Closed, Reply, ReplyBody, body_of, header_of, query_of, status, text};

/// Limit on the wait of a watch, in milliseconds.
const MAX_WAIT_MS: u64 = 60_000;

/// Handles one call.
pub(super) async fn handle(shared: Arc<Shared>, req: Request<Incoming>) -> Result<Reply, Closed> {
    let path = req.uri().path().to_owned();
    let Some((call, target)) = route(req.method(), &path) else {
        return Ok(status(StatusCode::NOT_FOUND));
    };
    if !shared.admit(call) {
        return Ok(status(StatusCode::TOO_MANY_REQUESTS));
    }
    let slow = shared.faults().slow_ms;
    tokio::time::sleep(Duration::from_millis(slow)).await;
    let reply = match call {
        Call::Get => get(&shared, target),
        Call::Put => put(&shared, target, req).await?,
        Call::Delete => delete(&shared, target, &req),
        Call::Grant => grant(&shared, &req),
        Call::KeepAlive => keep_alive(&shared, target),
        Call::Revoke => revoke(&shared, target),
        Call::Watch => watch(&shared, target, &req).await,
    };
    if call.is_write() && shared.draw_reply_loss() { Err(Closed) } else { Ok(reply) }
}

fn route<'a>(method: &Method, path: &'a str) -> Option<(Call, &'a str)> {
    if path == "/v1/leases" {
        return (method == Method::POST).then_some((Call::Grant, ""));
    }
    let (kind, target) = path.strip_prefix("/v1/")?.split_once('/')?;
    let call = match (method, kind) {
        (&Method::GET, "kv") => Call::Get,
        (&Method::PUT, "kv") => Call::Put,
        (&Method::DELETE, "kv") => Call::Delete,
        (&Method::PUT, "leases") => Call::KeepAlive,
        (&Method::DELETE, "leases") => Call::Revoke,
        (&Method::GET, "watch") => Call::Watch,
        _ => return None,
    };
    (!target.is_empty()).then_some((call, target))
}

fn get(shared: &Shared, key: &str) -> Reply {
    shared.expire();
    shared
        .read(|state| state.get(key).cloned())
        .map_or_else(reply_not_found, |entry| reply_with_entry(&entry))
}

async fn put(shared: &Shared, key: &str, req: Request<Incoming>) -> Result<Reply, Closed> {
    let Some(expect) = condition(&req) else {
        return Ok(status(StatusCode::PRECONDITION_REQUIRED));
    };
    let lease = header_of(&req, "x-lease");
    let value = body_of(req).await?;
    if value.len() > MAX_VALUE_BYTES {
        return Ok(status(StatusCode::PAYLOAD_TOO_LARGE));
    }
    let bytes = value.len();
    let result = shared.change(|state, _| state.put(key, value, expect, lease));
    let done = matches!(result, WriteResult::Done(_));
    shared.count_write(if done { bytes } else { 0 }, matches!(result, WriteResult::Conflict(_)));
    Ok(match result {
        WriteResult::Done(revision) => reply_with_etag(StatusCode::OK, revision),
        other => reply_to_refusal(other),
    })
}

fn delete(shared: &Shared, key: &str, req: &Request<Incoming>) -> Reply {
    let Some(Expect::Revision(revision)) = condition(req) else {
        return status(StatusCode::PRECONDITION_REQUIRED);
    };
    let result = shared.change(|state, _| state.delete(key, revision));
    shared.count_write(0, matches!(result, WriteResult::Conflict(_)));
    match result {
        WriteResult::Done(_) => status(StatusCode::NO_CONTENT),
        WriteResult::Conflict(None) => reply_not_found(),
        other => reply_to_refusal(other),
    }
}

fn grant(shared: &Shared, req: &Request<Incoming>) -> Reply {
    let Some(ttl) = query_of(req, "ttl_ms").filter(|ttl| *ttl > 0) else {
        return text(StatusCode::BAD_REQUEST, "ttl_ms must be a positive number");
    };
    let id = shared.change(|state, now| state.grant(Duration::from_millis(ttl), now));
    text(StatusCode::CREATED, id.to_string())
}

fn keep_alive(shared: &Shared, id: &str) -> Reply {
    let id = id.parse().unwrap_or(0);
    reply_of_lease_call(shared.change(|state, now| state.keep_alive(id, now)))
}

fn revoke(shared: &Shared, id: &str) -> Reply {
    let id = id.parse().unwrap_or(0);
    reply_of_lease_call(shared.change(|state, _| state.revoke(id)))
}

async fn watch(shared: &Shared, key: &str, req: &Request<Incoming>) -> Reply {
    let after: u64 = query_of(req, "after").unwrap_or(0);
    let wait = query_of(req, "wait_ms").unwrap_or(0).min(MAX_WAIT_MS);
    let mut changes = shared.changes();
    let changed = async {
        loop {
            changes.mark_unchanged();
            let (at, entry) =
                shared.read(|state| (state.last_change(key), state.get(key).cloned()));
            if at > after {
                return entry.map_or_else(
                    || reply_with_etag(StatusCode::NOT_FOUND, at),
                    |e| reply_with_entry(&e),
                );
            }
            if changes.changed().await.is_err() {
                std::future::pending::<()>().await;
            }
        }
    };
    let limit = Duration::from_millis(wait);
    tokio::time::timeout(limit, changed).await.unwrap_or_else(|_| status(StatusCode::NOT_MODIFIED))
}

fn condition<B>(req: &Request<B>) -> Option<Expect> {
    let headers = req.headers();
    if headers.get(IF_NONE_MATCH).is_some_and(|value| value == "*") {
        return Some(Expect::Absent);
    }
    let tag = headers.get(IF_MATCH)?.to_str().ok()?;
    tag.trim_matches('"').parse().ok().map(Expect::Revision)
}

fn reply_with_entry(entry: &Entry) -> Reply {
    let mut reply = reply_with_etag(StatusCode::OK, entry.revision);
    *reply.body_mut() = ReplyBody::from(entry.value.clone());
    reply
}

fn reply_with_etag(code: StatusCode, revision: u64) -> Reply {
    let mut reply = status(code);
    let tag = HeaderValue::from_str(&format!("\"{revision}\""));
    reply.headers_mut().insert(ETAG, tag.expect("digits in quotes are a header value"));
    reply
}

fn reply_to_refusal(result: WriteResult) -> Reply {
    match result {
        WriteResult::Conflict(Some(current)) => {
            reply_with_etag(StatusCode::PRECONDITION_FAILED, current)
        }
        WriteResult::Conflict(None) => status(StatusCode::PRECONDITION_FAILED),
        WriteResult::NoLease => status(StatusCode::GONE),
        WriteResult::Done(revision) => reply_with_etag(StatusCode::OK, revision),
    }
}

fn reply_not_found() -> Reply {
    status(StatusCode::NOT_FOUND)
}

fn reply_of_lease_call(existed: bool) -> Reply {
    status(if existed { StatusCode::NO_CONTENT } else { StatusCode::NOT_FOUND })
}
