use geraniumpost_platform::READY_PATH;
use http::{Request, StatusCode};
use hyper::body::Incoming;

use super::super::http_server::{HttpResponse, empty_response};
use super::EntryState;

/// Maximum silence of the coordinator for which this entry is ready, in milliseconds. The balancer
/// stops sending requests to an entry only after two failed checks a second apart, and a takeover
/// takes less time.
const MAX_COORDINATOR_SILENCE_MS: u64 = 1_000;

/// Responds to the balancer's readiness check. The entry is ready if its configuration is not
/// outdated, the coordinator responds, and the process was not asked to stop.
pub fn respond(req: &Request<Incoming>, shared: &EntryState) -> HttpResponse {
    if req.uri().path() != READY_PATH {
        return empty_response(StatusCode::NOT_FOUND);
    }
    let configured = shared.configuration.version() > 0 && !shared.is_behind();
    let stopping = shared.stop.has_begun();
    let coordinator_responds = shared.relay.coordinator_silence_ms() < MAX_COORDINATOR_SILENCE_MS;
    let ready = configured && coordinator_responds && !stopping;
    empty_response(if ready { StatusCode::OK } else { StatusCode::SERVICE_UNAVAILABLE })
}
