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

use super::dispatch::dispatch;
use super::incoming::{Head, request_id};
use super::{EntryContext, Incoming, Reply};
use crate::open_connections::OpenConnections;
use crate::stop_signal::stopped;

/// Path that the platform's balancer asks whether this entry takes new connections.
const HEALTH: &str = "/healthz";
/// Time in which the head of a request must arrive.
const HEAD_TIME: Duration = Duration::from_secs(10);
/// Connections at once; more wait in the listener's queue.
const CONNECTIONS: usize = 10_000;
/// How long a leaving entry still accepts, so that the balancer sees it as not ready first.
const NOT_READY: Duration = Duration::from_millis(500);
/// How long a connection without any request yet is kept at a planned stop.
const FIRST_REQUEST: Duration = Duration::from_secs(1);
/// Longest time in which the requests that outlast the drain time are told so.
const LAST_RESPONSES: Duration = Duration::from_millis(500);
/// Longest time in which a starting entry lets nobody in.
const LONGEST_START: Duration = Duration::from_secs(3);
/// Pause between two looks at whether a starting entry can serve.
const START_LOOK: Duration = Duration::from_millis(20);
/// Pause after an accept that failed, most often for want of descriptors.
const ACCEPT_PAUSE: Duration = Duration::from_millis(100);
/// When a caller who has too much in flight should come back, in milliseconds.
const LIMIT_RETRY_MS: u64 = 100;

/// Serves callers until the entry is asked to stop, and then finishes what is under way.
///
/// The order matters: first "not ready", so that the balancer sends nobody any more; then no more
/// accepts; then the requests in flight to their end, for at most `drain_ms`; then a response to
/// those that have not ended.
pub async fn serve(cx: Arc<EntryContext>, listener: TcpListener, mut stop: watch::Receiver<bool>) {
    let open_connections = OpenConnections::new(FIRST_REQUEST);
    let room = Arc::new(Semaphore::new(CONNECTIONS));
    let mut leaving = std::pin::pin!(async {
        stopped(&mut stop).await;
        cx.drain();
        sleep(NOT_READY).await;
    });
    let mut left = tokio::select! {
        () = able_to_serve(&cx) => false,
        () = &mut leaving => true,
    };
    while !left {
        tokio::select! {
            accepted = accept(&listener, &room) => {
                if let Some((stream, permit)) = accepted {
                    spawn(&cx, stream, permit, &open_connections);
                }
            }
            () = &mut leaving => left = true,
        }
    }
    serve_queued(&cx, listener, &room, &open_connections);
    let longest = Duration::from_millis(cx.settings.drain_ms);
    if timeout(longest, open_connections.finish()).await.is_err() {
        let open = open_connections.count();
        spdlog::warn!("drain_ms is over: ending the requests under way, connections={open}");
        cx.require_responses();
        if timeout(LAST_RESPONSES, open_connections.finish()).await.is_err() {
            let open = open_connections.count();
            spdlog::warn!("stopping with open connections, connections={open}");
        }
    }
}

/// Waits until a starting entry has a configuration and an agent, or for [`LONGEST_START`].
///
/// Without a configuration every token is unknown, and without agents nothing can run; callers
/// would be turned away, although the entry serves them a moment later. Until then their
/// connections wait in the listener's queue, and the balancer's question goes unanswered.
async fn able_to_serve(cx: &EntryContext) {
    let able = || {
        cx.config.active().load().revision() > 0
            && cx.snapshot.load().agents().any(|agent| agent.is_routable())
    };
    let waiting = async {
        while !able() {
            sleep(START_LOOK).await;
        }
    };
    if timeout(LONGEST_START, waiting).await.is_err() {
        spdlog::warn!("no configuration or no agent yet; callers are let in all the same");
    }
}

async fn accept(
    listener: &TcpListener,
    room: &Arc<Semaphore>,
) -> Option<(TcpStream, OwnedSemaphorePermit)> {
    let permit = Arc::clone(room).acquire_owned().await.ok()?;
    match listener.accept().await {
        Ok((stream, _)) => Some((stream, permit)),
        Err(error) => {
            spdlog::warn!("accepting callers: {error}");
            sleep(ACCEPT_PAUSE).await;
            None
        }
    }
}

/// Takes the connections that wait to be accepted and closes the listener.
///
/// The system has completed these connections and their callers may have sent requests already.
/// Closing the listener over them resets them, which callers notice as requests without any word
/// during a planned stop.
fn serve_queued(
    cx: &Arc<EntryContext>,
    listener: TcpListener,
    room: &Arc<Semaphore>,
    open_connections: &OpenConnections,
) {
    let Ok(listener) = listener.into_std() else { return };
    while let Ok((stream, _)) = listener.accept() {
        let permit = Arc::clone(room).try_acquire_owned();
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
    // Answers are short; waiting to fill packets would only delay them.
    let _ = stream.set_nodelay(true);
    let open_connection = open_connections.begin();
    let (cx, requested) = (Arc::clone(cx), open_connection.requested());
    let service = service_fn(move |req| {
        requested.notify_one();
        let cx = Arc::clone(&cx);
        async move { Ok::<_, Infallible>(answer(&cx, req).await) }
    });
    let connection = http1::Builder::new()
        .timer(TokioTimer::new())
        .header_read_timeout(HEAD_TIME)
        .serve_connection(TokioIo::new(stream), service);
    tokio::spawn(async move {
        if let Err(error) = open_connection.hold(connection).await {
            spdlog::debug!("caller's connection: {error}");
        }
        drop(permit);
    });
}

/// Answers a request, and asks for its connection to be closed if the entry is leaving.
///
/// A balancer keeps its connections. Closed by the entry's end, one of them may have the next
/// request on its way already, which would end without a word.
async fn answer(cx: &EntryContext, req: Request<HyperBody>) -> Response<Full<Bytes>> {
    let mut response = respond(cx, req).await;
    if cx.is_draining() {
        response.headers_mut().insert(header::CONNECTION, HeaderValue::from_static("close"));
    }
    response
}

async fn respond(cx: &EntryContext, req: Request<HyperBody>) -> Response<Full<Bytes>> {
    if req.uri().path() == HEALTH {
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

/// Reads the whole body before anything is reserved for the request, so that a caller who sends
/// slowly holds no slot that others need.
async fn read_body(cx: &EntryContext, head: Head, body: HyperBody) -> Result<Incoming, ResultCode> {
    let reading = Limited::new(body, head.largest()).collect();
    let reading = timeout(head.time(&cx.clock), reading);
    let read = tokio::select! {
        read = reading => read,
        () = cx.response_due() => {
            spdlog::info!("request {}: refused, its body is incomplete at drain_ms", head.id());
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

/// Lets the request in under its customer's limit and carries it to its last word.
async fn admit(cx: &EntryContext, req: &Incoming) -> Reply {
    let permit = cx.limits.load().try_acquire(&req.caller.name);
    match permit {
        Ok(_permit) => tokio::select! {
            reply = dispatch(cx, req) => reply,
            () = cx.response_due() => {
                let (id, customer) = (&req.id, &req.caller.name);
                spdlog::warn!("request {id} of {customer}: outcome unknown, drain_ms is over");
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
