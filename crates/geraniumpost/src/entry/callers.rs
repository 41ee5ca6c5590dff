use std::convert::Infallible;
use std::sync::Arc;
use std::time::{Duration, Instant};

use bytes::Bytes;
use geraniumpost_core::ResultCode;
use http::{HeaderValue, Request, Response, StatusCode, header};
use http_body_util::{BodyExt as _, Full, LengthLimitError, Limited};
use hyper::body::Incoming as HyperBody;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::{TokioIo, TokioTimer};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{OwnedSemaphorePermit, Semaphore, watch};
use tokio::time::{sleep, timeout};

use super::caller_request::{Head, request_id};
use super::dispatch::dispatch;
use super::{CallerRequest, EntryContext, Reply};
use crate::open_connections::OpenConnections;
use crate::stop_signal::stopped;

/// Path of the health check, with which the platform's load balancer determines whether this entry
/// accepts new connections.
const HEALTH_PATH: &str = "/healthz";
/// Timeout for the head of a request.
const HEAD_TIMEOUT: Duration = Duration::from_secs(10);
/// Maximum number of open connections. Further connections wait in the listener's queue.
const MAX_CONNECTIONS: usize = 10_000;
/// Time for which a draining entry still accepts connections, so that the load balancer first
/// detects that it is not ready.
const ACCEPT_WHILE_DRAINING: Duration = Duration::from_millis(500);
/// Time for which a connection without any request is kept open at a planned stop.
const FIRST_REQUEST_TIMEOUT: Duration = Duration::from_secs(1);
/// Time to answer the requests that are still in flight after `drain_ms`.
const FINAL_RESPONSE_TIMEOUT: Duration = Duration::from_millis(500);
/// Maximum time for which a starting entry accepts no connections.
const START_TIMEOUT: Duration = Duration::from_secs(3);
/// Interval at which a starting entry checks whether it can serve requests.
const START_CHECK_INTERVAL: Duration = Duration::from_millis(20);
/// Delay after a failed accept, which is usually caused by a lack of file descriptors.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(100);
/// Delay advised to callers whose customer has too many requests in flight, in milliseconds.
const LIMIT_RETRY_MS: u64 = 100;

/// Serves callers until the entry is asked to stop, and then drains it.
///
/// The order matters. First the health check fails, so that the load balancer sends no further
/// connections. Then the entry stops accepting connections, and waits for at most `drain_ms` until
/// the requests in flight have finished. Requests that have not finished then are answered.
pub async fn serve(cx: Arc<EntryContext>, listener: TcpListener, mut stop: watch::Receiver<bool>) {
    let open_connections = OpenConnections::new(FIRST_REQUEST_TIMEOUT);
    let permits = Arc::new(Semaphore::new(MAX_CONNECTIONS));
    let mut draining = std::pin::pin!(async {
        stopped(&mut stop).await;
        cx.drain();
        sleep(ACCEPT_WHILE_DRAINING).await;
    });
    let mut closing = tokio::select! {
        () = ready_to_serve(&cx) => false,
        () = &mut draining => true,
    };
    while !closing {
        tokio::select! {
            accepted = accept(&listener, &permits) => {
                if let Some((stream, permit)) = accepted {
                    spawn(&cx, stream, permit, &open_connections);
                }
            }
            () = &mut draining => closing = true,
        }
    }
    serve_queued(&cx, listener, &permits, &open_connections);
    let drain_time = Duration::from_millis(cx.settings.drain_ms);
    if timeout(drain_time, open_connections.finish()).await.is_err() {
        let open = open_connections.count();
        spdlog::warn!("drain_ms has elapsed; answering the requests in flight, connections={open}");
        cx.require_responses();
        if timeout(FINAL_RESPONSE_TIMEOUT, open_connections.finish()).await.is_err() {
            let open = open_connections.count();
            spdlog::warn!("stopping with open connections, connections={open}");
        }
    }
}

/// Waits until a starting entry has a configuration and a routable agent, for at most
/// [`START_TIMEOUT`].
///
/// Without a configuration no token is known, and without agents no request can run, so callers
/// would be refused although the entry can serve them shortly after. Until then their connections,
/// and those of the load balancer's health checks, wait in the listener's queue.
async fn ready_to_serve(cx: &EntryContext) {
    let is_ready = || {
        cx.config.active().load().revision() > 0
            && cx.snapshot.load().agents().any(|agent| agent.is_routable())
    };
    let waiting = async {
        while !is_ready() {
            sleep(START_CHECK_INTERVAL).await;
        }
    };
    if timeout(START_TIMEOUT, waiting).await.is_err() {
        spdlog::warn!("no configuration or no agent known yet; accepting callers nevertheless");
    }
}

async fn accept(
    listener: &TcpListener,
    permits: &Arc<Semaphore>,
) -> Option<(TcpStream, OwnedSemaphorePermit)> {
    let permit = Arc::clone(permits).acquire_owned().await.ok()?;
    match listener.accept().await {
        Ok((stream, _)) => Some((stream, permit)),
        Err(error) => {
            spdlog::warn!("cannot accept a caller's connection: {error}");
            sleep(ACCEPT_RETRY_DELAY).await;
            None
        }
    }
}

/// Accepts the connections in the listener's queue and closes the listener.
///
/// The operating system has established these connections, and their callers may have sent requests
/// already. If the listener were closed without accepting them, they would be reset, and the
/// callers would get no response during a planned stop.
fn serve_queued(
    cx: &Arc<EntryContext>,
    listener: TcpListener,
    permits: &Arc<Semaphore>,
    open_connections: &OpenConnections,
) {
    let Ok(listener) = listener.into_std() else { return };
    while let Ok((stream, _)) = listener.accept() {
        let permit = Arc::clone(permits).try_acquire_owned();
        let stream = stream.set_nonblocking(true).and_then(|()| TcpStream::from_std(stream));
        let (Ok(permit), Ok(stream)) = (permit, stream) else { continue };
        spawn(cx, stream, permit, open_connections);
    }
}

fn spawn(
    cx: &Arc<EntryContext>,
    stream: TcpStream,
    permit: OwnedSemaphorePermit,
    open_connections: &OpenConnections,
) {
    // Responses are short, so buffering them to fill packets would only add delay.
    let _ = stream.set_nodelay(true);
    let open_connection = open_connections.begin();
    let (cx, requested) = (Arc::clone(cx), open_connection.requested());
    let service = service_fn(move |req| {
        requested.notify_one();
        let cx = Arc::clone(&cx);
        async move { Ok::<_, Infallible>(respond(&cx, req).await) }
    });
    let connection = http1::Builder::new()
        .timer(TokioTimer::new())
        .header_read_timeout(HEAD_TIMEOUT)
        .serve_connection(TokioIo::new(stream), service);
    tokio::spawn(async move {
        if let Err(error) = open_connection.serve(connection).await {
            spdlog::debug!("connection of a caller failed: {error}");
        }
        drop(permit);
    });
}

/// Responds to a request, and asks the client to close its connection if the entry is draining.
///
/// Load balancers keep connections open. When the entry exits, the next request may already be on
/// its way over such a connection, and would get no response.
async fn respond(cx: &EntryContext, req: Request<HyperBody>) -> Response<Full<Bytes>> {
    let mut response = handle(cx, req).await;
    if cx.is_draining() {
        response.headers_mut().insert(header::CONNECTION, HeaderValue::from_static("close"));
    }
    response
}

async fn handle(cx: &EntryContext, req: Request<HyperBody>) -> Response<Full<Bytes>> {
    if req.uri().path() == HEALTH_PATH {
        return health(cx);
    }
    let began = Instant::now();
    let (parts, body) = req.into_parts();
    let head = Head::read(&parts, &cx.config.active().load(), &cx.clock);
    let head = match head {
        Ok(head) => head,
        Err(code) => {
            cx.metrics.outcome("", code.number(), began.elapsed());
            return Reply::without_answer(code, 0).into_response(&request_id(&parts.headers));
        }
    };
    let (id, (service, customer)) = (head.id(), head.labels());
    cx.metrics.request(&service, &customer);
    let reply = match read_body(cx, head, body).await {
        Ok(req) => admit(cx, &req).await,
        Err(code) => Reply::without_answer(code, 0),
    };
    cx.metrics.outcome(&service, reply.code().number(), began.elapsed());
    reply.into_response(&id)
}

/// Reads the complete body before the request counts against a limit or occupies a slot, so that
/// slow callers do not block others.
async fn read_body(
    cx: &EntryContext,
    head: Head,
    body: HyperBody,
) -> Result<CallerRequest, ResultCode> {
    let reading = Limited::new(body, head.max_body_bytes()).collect();
    let reading = timeout(head.time_left(&cx.clock), reading);
    let read = tokio::select! {
        read = reading => read,
        () = cx.response_due() => {
            spdlog::info!("request {} refused: body incomplete after drain_ms", head.id());
            return Err(ResultCode::EntryLeaving);
        }
    };
    match read {
        Ok(Ok(body)) => Ok(head.with_body(body.to_bytes())),
        Ok(Err(error)) if error.is::<LengthLimitError>() => Err(ResultCode::BodyTooLarge),
        Ok(Err(_)) => Err(ResultCode::Malformed),
        Err(_) => Err(ResultCode::DeadlineTooShort),
    }
}

/// Admits the request if its customer's limit allows, and dispatches it until it has a result.
async fn admit(cx: &EntryContext, req: &CallerRequest) -> Reply {
    let permit = cx.limits.load().try_acquire(&req.caller.name);
    match permit {
        Ok(_permit) => tokio::select! {
            reply = dispatch(cx, req) => reply,
            () = cx.response_due() => {
                let (id, customer) = (&req.id, &req.caller.name);
                spdlog::warn!(
                    "request {id} of customer {customer}: outcome unknown, drain_ms has elapsed"
                );
                Reply::without_answer(ResultCode::OutcomeUnknown, 0)
            }
        },
        Err(code) => Reply::without_answer(code, LIMIT_RETRY_MS),
    }
}

fn health(cx: &EntryContext) -> Response<Full<Bytes>> {
    let ready = !cx.is_draining() && cx.config.active().load().revision() > 0;
    let (status, text) = if ready {
        (StatusCode::OK, "ready\n")
    } else {
        (StatusCode::SERVICE_UNAVAILABLE, "not ready\n")
    };
    let mut response = Response::new(Full::new(Bytes::from_static(text.as_bytes())));
    *response.status_mut() = status;
    response
}
