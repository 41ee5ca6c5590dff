use geraniumpost_platform::READY_PATH;
use http::{Request, StatusCode};
use hyper::body::Incoming;

use super::super::http_server::{HttpResponse, empty};
use super::Shared;

/// How long the coordinator may be silent before callers are better served elsewhere, in
/// milliseconds. The balancer waits for two misses a second apart, longer than a takeover takes.
const SILENCE_MS: u64 = 1_000;

/// Answers the balancer: ready with the newest configuration and a coordinator, until asked to stop.
pub fn respond(req: &Request<Incoming>, shared: &Shared) -> HttpResponse {
    if req.uri().path() != READY_PATH {
        return empty(StatusCode::NOT_FOUND);
    }
    let configured = shared.configuration.version() > 0 && !shared.is_behind();
    let stopping = *shared.stop.borrow();
    let coordinator_responds = shared.relay.silent_ms() < SILENCE_MS;
    let ready = configured && coordinator_responds && !stopping;
    empty(if ready { StatusCode::OK } else { StatusCode::SERVICE_UNAVAILABLE })
}
