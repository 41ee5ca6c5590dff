//! HTTP interface for callers: submission, queries and cancellation of jobs.

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use geraniumpost_batch::{CallerRequest, CallerResponse, Feature, JobId};
use geraniumpost_platform::{DEADLINE_HEADER, Route, decode_job, encode_pending, encode_state};
use http::header::{CONTENT_TYPE, HOST, RETRY_AFTER};
use http::{HeaderValue, Method, Request, StatusCode};
use http_body_util::{BodyExt, Full, Limited};
use hyper::body::Incoming;

use super::super::http_server::{HttpResponse, empty_response};
use super::EntryState;
use super::relay::NoResponse;
use super::request_log::RequestLog;

/// Deadline of requests without the header [`DEADLINE_HEADER`], in milliseconds.
const DEFAULT_DEADLINE_MS: u64 = 3_000;
/// Part of a caller's deadline that is reserved for sending the response, in milliseconds.
const RESPONSE_MARGIN_MS: u64 = 150;
/// Maximum time for which a request that cannot be sent is held. A takeover takes about as long,
/// and a retry by the caller would take longer.
const MAX_UNSENT_WAIT: Duration = Duration::from_millis(1_200);
/// Minimum time for which a request that cannot be sent is held, because a link may open at any
/// moment.
const MIN_UNSENT_WAIT: Duration = Duration::from_millis(60);
/// Minimum time within which the response to a submission has to arrive for it to be sent: two round
/// trips over a link between distant failure domains, one to the coordinator and one to the store.
/// With less time left, the caller would not hear whether the job was accepted.
const MIN_RESPONSE_TIME: Duration = Duration::from_millis(100);
/// Value of the `Retry-After` header of requests that this entry refuses, in seconds.
const RETRY_AFTER_S: u64 = 1;

/// Maximum time for which the body of a request that is refused is read.
const DISCARD_TIMEOUT: Duration = Duration::from_millis(200);
/// Reason of refusals of submissions whose response could not arrive in time.
const WHY_NO_TIME: &str = "no time left for a response";
/// Reason of refusals by an entry that has no time left to relay a request.
const WHY_STOPPING: &str = "this entry is shutting down";

/// Responds to a request of a caller, and counts the response in the metrics.
pub async fn respond(req: Request<Incoming>, shared: Arc<EntryState>) -> HttpResponse {
    let _in_flight = shared.requests.begin();
    let started_at = tokio::time::Instant::now();
    let method = req.method().clone();
    let log = RequestLog::new(&req);
    let mut response = handle(req, &shared, log).await;
    shared.metrics.outcome(method.as_str(), response.status().as_u16(), started_at.elapsed());
    if shared.stop.has_begun() {
        // With the connection closed, the caller's next request goes to another entry.
        response.headers_mut().insert("connection", HeaderValue::from_static("close"));
    }
    response
}

async fn handle(req: Request<Incoming>, shared: &EntryState, mut log: RequestLog) -> HttpResponse {
    if shared.stop.is_drained() {
        discard_body(req).await;
        return refuse(&log, WHY_STOPPING);
    }
    let Some(routes) = shared.configuration.routes() else {
        return refuse(&log, "no configuration was read yet");
    };
    if shared.is_behind() {
        return refuse(&log, "the active configuration may be outdated");
    }
    let host = req.headers().get(HOST).and_then(|host| host.to_str().ok()).unwrap_or_default();
    let Some(route) = routes.find(host, req.uri().path()) else {
        return empty_response(StatusCode::NOT_FOUND);
    };
    log.set_queue(route.terms.queue.clone());
    let response_timeout = response_timeout(&req);
    let rest = &req.uri().path()[route.prefix.len()..];
    if rest.is_empty() && req.method() == Method::GET {
        let request = CallerRequest::Pending(route.terms.queue.clone());
        return relay(shared, &log, request, response_timeout).await;
    }
    let Ok(job) = rest.parse::<JobId>() else {
        return empty_response(StatusCode::NOT_FOUND);
    };
    match *req.method() {
        Method::GET => relay(shared, &log, CallerRequest::State(job), response_timeout).await,
        Method::DELETE => relay(shared, &log, CallerRequest::Cancel(job), response_timeout).await,
        Method::POST => {
            let read = tokio::select! {
                read = read_submission(req, job, route, routes.max_body_bytes) => read,
                () = shared.stop.response_due() => return refuse(&log, WHY_STOPPING),
            };
            match read {
                Ok(request) => relay(shared, &log, request, response_timeout).await,
                Err((status, why)) => {
                    log.refused(status, &why);
                    empty_response(status)
                }
            }
        }
        _ => empty_response(StatusCode::METHOD_NOT_ALLOWED),
    }
}

/// Reads the body of a request that is refused. If the server closed the connection over unread
/// bytes, the connection would be reset, and the response might not arrive.
async fn discard_body(req: Request<Incoming>) {
    let mut body = req.into_body();
    let read = async { while body.frame().await.is_some_and(|frame| frame.is_ok()) {} };
    let _ = tokio::time::timeout(DISCARD_TIMEOUT, read).await;
}

/// Reads the body of a submission. The error is the status of the response and the reason.
async fn read_submission(
    req: Request<Incoming>,
    job: JobId,
    route: &Route,
    max_body_bytes: usize,
) -> Result<CallerRequest, (StatusCode, String)> {
    let body = Limited::new(req.into_body(), max_body_bytes).collect().await;
    let body = body.map_err(|e| (StatusCode::PAYLOAD_TOO_LARGE, format!("body: {e}")))?;
    let spec = decode_job(&body.to_bytes());
    let spec = spec.map_err(|e| (StatusCode::BAD_REQUEST, e.to_string()))?;
    Ok(CallerRequest::Submit { job, spec, terms: route.terms.clone() })
}

/// Relays a request to the coordinator, and translates the response to HTTP.
async fn relay(
    shared: &EntryState,
    log: &RequestLog,
    request: CallerRequest,
    response_timeout: Duration,
) -> HttpResponse {
    // The wait counts from the start of the coordinator's silence. After a long silence a takeover
    // is not expected soon, and holding the request would only cost the caller time.
    let silent = Duration::from_millis(shared.relay.coordinator_silence_ms());
    let mut unsent_wait = MAX_UNSENT_WAIT.saturating_sub(silent).max(MIN_UNSENT_WAIT);
    let is_submission = matches!(request, CallerRequest::Submit { .. });
    let bounded = is_submission && shared.features.contains(Feature::Admission);
    if bounded {
        // A request that is not sent within this time never is.
        unsent_wait = unsent_wait.min(response_timeout.saturating_sub(MIN_RESPONSE_TIME));
        if unsent_wait.is_zero() {
            shared.metrics.refused_submissions("no_time", 1);
            return refuse(log, WHY_NO_TIME);
        }
    }
    let response_due = shared.stop.response_due();
    match shared.relay.request(request, unsent_wait, response_timeout, response_due).await {
        Ok(CallerResponse::Accepted | CallerResponse::Cancelled) => empty_response(StatusCode::OK),
        Ok(CallerResponse::State(state)) => json_response(encode_state(state)),
        Ok(CallerResponse::Pending(count)) => json_response(encode_pending(count)),
        Ok(CallerResponse::Unknown) => empty_response(StatusCode::GONE),
        Ok(CallerResponse::Invalid) => empty_response(StatusCode::BAD_REQUEST),
        Ok(CallerResponse::Refused { retry_after_ms }) => {
            let mut response = empty_response(StatusCode::TOO_MANY_REQUESTS);
            let seconds = retry_after_ms.div_ceil(1_000);
            response.headers_mut().insert(RETRY_AFTER, HeaderValue::from(seconds));
            response
        }
        Err(NoResponse::NotSent) => refuse(log, "no coordinator"),
        Err(NoResponse::Unknown { sent_copies }) => {
            log.given_up(StatusCode::GATEWAY_TIMEOUT, sent_copies);
            empty_response(StatusCode::GATEWAY_TIMEOUT)
        }
    }
}

/// Returns the response 503 with a `Retry-After` header. The request has no effect, now or later.
fn refuse(log: &RequestLog, why: &str) -> HttpResponse {
    let mut response = empty_response(StatusCode::SERVICE_UNAVAILABLE);
    log.refused(response.status(), why);
    response.headers_mut().insert(RETRY_AFTER, HeaderValue::from(RETRY_AFTER_S));
    response
}

fn json_response(body: String) -> HttpResponse {
    let mut response = HttpResponse::new(Full::new(Bytes::from(body)));
    response.headers_mut().insert(CONTENT_TYPE, HeaderValue::from_static("application/json"));
    response
}

fn response_timeout(req: &Request<Incoming>) -> Duration {
    let header = req.headers().get(DEADLINE_HEADER).and_then(|value| value.to_str().ok());
    let ms = header.and_then(|text| text.parse().ok()).unwrap_or(DEFAULT_DEADLINE_MS);
    Duration::from_millis(ms.saturating_sub(RESPONSE_MARGIN_MS).max(1))
}
