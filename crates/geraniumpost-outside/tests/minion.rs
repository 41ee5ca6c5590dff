//! Adapter to minions, tested with the stand-in minion, with and without injected faults.

use std::net::SocketAddr;
use std::time::Duration;

use assert_matches::assert_matches;
use bytes::Bytes;
use geraniumpost_outside::{Answer, Minion, MinionError};
use geraniumpost_standin::Standin;
use geraniumpost_standin::http::Down;
use geraniumpost_standin::minion::{
    MinionCounts, MinionEvent, MinionFaults, MinionMode, MinionOptions, expected_answer,
    spawn_in_process,
};
use geraniumpost_standin::relay::{self, Direction, Protocol, RelayFaults};
use http::{HeaderMap, HeaderValue, Method};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpListener;

const ANY_PORT: SocketAddr =
    SocketAddr::new(std::net::IpAddr::V4(std::net::Ipv4Addr::LOCALHOST), 0);
const LONG_TIMEOUT: Duration = Duration::from_secs(20);
const SHORT_TIMEOUT: Duration = Duration::from_millis(300);

async fn minion() -> (Standin, Minion) {
    let standin = spawn_in_process(ANY_PORT, ANY_PORT, MinionOptions::default()).await.unwrap();
    let minion = Minion::new(standin.address(), 64);
    (standin, minion)
}

async fn send(minion: &Minion, id: &str, time: Duration) -> Result<Answer, MinionError> {
    send_sized(minion, id, 0, 0, time).await
}

async fn send_sized(
    minion: &Minion,
    id: &str,
    work_ms: u64,
    response_bytes: usize,
    time: Duration,
) -> Result<Answer, MinionError> {
    let mut headers = HeaderMap::new();
    headers.insert("x-request-id", HeaderValue::from_str(id).unwrap());
    headers.insert("x-work-ms", work_ms.into());
    headers.insert("x-answer-bytes", response_bytes.into());
    minion.send(Method::POST, "/filing/check", headers, body_of(id), time).await
}

fn body_of(id: &str) -> Bytes {
    format!("body of {id}").into()
}

fn response_to(id: &str, response_bytes: usize) -> Bytes {
    expected_answer(id, &body_of(id), response_bytes)
}

async fn set_faults(standin: &Standin, faults: MinionFaults) {
    standin.control().set_faults(&faults).await.unwrap();
}

async fn runs(standin: &Standin) -> usize {
    let record: Vec<MinionEvent> = standin.control().read("record").await.unwrap();
    record.iter().filter(|event| event.target.starts_with("POST")).map(|e| e.run).max().unwrap_or(0)
        as usize
}

/// Defines one test for each fault of a minion.
macro_rules! request_to_faulty_minion {
    ($($(#[$doc:meta])* $name:ident: $faults:expr => $error:pat, runs: $runs:expr;)*) => {$(
        $(#[$doc])*
        #[tokio::test]
        async fn $name() {
            let (standin, minion) = minion().await;
            set_faults(&standin, $faults).await;
            let result = send_sized(&minion, "r1", 0, 100_000, SHORT_TIMEOUT).await;
            assert_matches!(result, Err(e @ $error) if !e.did_not_run() || $runs == 0);
            assert_eq!(runs(&standin).await, $runs);
        }
    )*};
}

const fn mode(mode: MinionMode) -> MinionFaults {
    MinionFaults { down: Down::No, delay_ms: 0, mode, mode_permille: 1000, seed: 0 }
}

const fn down(down: Down) -> MinionFaults {
    MinionFaults { down, ..mode(MinionMode::Serve) }
}

request_to_faulty_minion! {
    /// Guards against a refused connection that is taken for a possible run: the minion process is
    /// down, so the caller may be told "not run" and another minion may print the badge.
    request_to_a_refused_port_did_not_run: down(Down::Refuse) => MinionError::NotSent(_), runs: 0;
    /// Guards against a second run after the minion closes the connection without a response: the
    /// request may have run, so no other minion may print the badge.
    request_closed_unanswered_may_have_run: down(Down::Close) => MinionError::Failed(_), runs: 0;
    /// Guards against a second run after the minion has run the request and crashed before its
    /// response.
    request_with_a_lost_response_may_have_run:
        mode(MinionMode::Close) => MinionError::Failed(_), runs: 1;
    /// Guards against a truncated response that is taken for a complete one, such as a part of a
    /// gate log.
    truncated_response_is_an_error:
        mode(MinionMode::Truncate) => MinionError::Truncated(_), runs: 1;
    /// Guards against a request that waits without end for a minion that does not respond.
    hanging_minion_times_out: mode(MinionMode::Hang) => MinionError::TimedOut, runs: 1;
}

#[tokio::test]
async fn response_is_complete_and_belongs_to_the_request() {
    let (_standin, minion) = minion().await;
    for (n, size) in [0, 1, 5000, 3_000_000].into_iter().enumerate() {
        let id = format!("r{n}");
        let response = send_sized(&minion, &id, 0, size, LONG_TIMEOUT).await.unwrap();
        assert_eq!(response.body, response_to(&id, size));
        assert_eq!(response.headers["x-request-id"], id.as_str());
        assert!(!response.headers.contains_key("content-length"));
    }
}

#[tokio::test]
async fn error_status_is_a_response() {
    let (standin, minion) = minion().await;
    set_faults(&standin, mode(MinionMode::Fail)).await;
    assert_eq!(send(&minion, "r1", LONG_TIMEOUT).await.unwrap().status, 500);
}

#[tokio::test]
async fn response_over_the_limit_is_an_error() {
    let (_standin, minion) = minion().await;
    let minion = minion.max_response_bytes(1000);
    let result = send_sized(&minion, "r1", 0, 2000, LONG_TIMEOUT).await;
    assert_eq!(result, Err(MinionError::TooLarge(1000)));
}

/// Guards against more connections than the minion accepts. A request that gets no connection
/// within its timeout must be reported as not sent.
#[tokio::test]
async fn connections_stay_within_the_limit() {
    let standin = spawn_in_process(ANY_PORT, ANY_PORT, MinionOptions::default()).await.unwrap();
    let minion = Minion::new(standin.address(), 4);
    let calls: Vec<_> = (0..40)
        .map(|n| {
            let minion = minion.clone();
            tokio::spawn(
                async move { send_sized(&minion, &format!("r{n}"), 20, 0, LONG_TIMEOUT).await },
            )
        })
        .collect();
    for (n, call) in calls.into_iter().enumerate() {
        assert_eq!(call.await.unwrap().unwrap().body, response_to(&format!("r{n}"), 0));
    }
    let counts: MinionCounts = standin.control().read("counts").await.unwrap();
    assert!(counts.most_connections <= 4, "{counts:?}");
    set_faults(&standin, mode(MinionMode::Hang)).await;
    let hanging: Vec<_> = (0..4)
        .map(|n| {
            let minion = minion.clone();
            tokio::spawn(async move { send(&minion, &format!("h{n}"), LONG_TIMEOUT).await })
        })
        .collect();
    wait_for_runs(&standin, 44).await;
    assert_matches!(send(&minion, "late", SHORT_TIMEOUT).await, Err(MinionError::NotSent(_)));
    assert_eq!(runs(&standin).await, 44);
    hanging.iter().for_each(tokio::task::JoinHandle::abort);
}

async fn wait_for_runs(standin: &Standin, wanted: usize) {
    for _ in 0..1000 {
        if runs(standin).await >= wanted {
            return;
        }
        tokio::time::sleep(Duration::from_millis(10)).await;
    }
    panic!("fewer than {wanted} runs");
}

/// Guards against requests that fail on an idle connection which the minion closed when it
/// restarted.
#[tokio::test]
async fn connection_closed_while_idle_is_replaced() {
    let (standin, minion) = minion().await;
    for round in 0..10 {
        send(&minion, &format!("r{round}"), LONG_TIMEOUT).await.unwrap();
        set_faults(&standin, down(Down::Close)).await;
        set_faults(&standin, mode(MinionMode::Serve)).await;
        tokio::time::sleep(Duration::from_millis(50)).await;
    }
    assert_eq!(runs(&standin).await, 10);
}

/// Guards against requests that are reported as not sent although they ran, while the minion
/// repeatedly restarts under load. Another minion would print the same badge again.
#[tokio::test]
async fn not_sent_is_reliable_while_connections_fail() {
    let (standin, minion) = minion().await;
    let fault_injection = async {
        for round in 0..120 {
            let fault = if round % 2 == 0 { Down::Close } else { Down::Refuse };
            set_faults(&standin, down(fault)).await;
            tokio::time::sleep(Duration::from_millis(2)).await;
            set_faults(&standin, mode(MinionMode::Serve)).await;
            tokio::time::sleep(Duration::from_millis(5)).await;
        }
    };
    let callers: Vec<_> = (0..8)
        .map(|caller| {
            let minion = minion.clone();
            tokio::spawn(async move {
                let mut unsent = Vec::new();
                for n in 0..200 {
                    let id = format!("c{caller}-{n}");
                    match send(&minion, &id, LONG_TIMEOUT).await {
                        Ok(response) => assert_eq!(response.body, response_to(&id, 0)),
                        Err(e) if e.did_not_run() => unsent.push(id),
                        Err(_) => {}
                    }
                    tokio::time::sleep(Duration::from_millis(2)).await;
                }
                unsent
            })
        })
        .collect();
    fault_injection.await;
    let has_run = |record: &[MinionEvent], id: &str| record.iter().any(|e| e.request_id == id);
    let mut unsent = Vec::new();
    for caller in callers {
        unsent.extend(caller.await.unwrap());
    }
    let record: Vec<MinionEvent> = standin.control().read("record").await.unwrap();
    let ran: Vec<_> = unsent.iter().filter(|id| has_run(&record, id)).collect();
    assert!(ran.is_empty(), "requests reported as not sent have run: {ran:?}");
    assert!(!unsent.is_empty(), "no connection was refused");
}

/// Guards against reuse of connections whose state a middlebox between agent and minion has lost.
/// The request on such a connection must time out, not count as not sent, and the next request must
/// use a new connection.
#[tokio::test]
async fn request_after_a_timeout_uses_a_new_connection() {
    let (standin, _) = minion().await;
    let relay = relay::spawn_in_process(ANY_PORT, ANY_PORT, Protocol::Tcp, standin.address())
        .await
        .unwrap();
    let minion = Minion::new(relay.address(), 64);
    send(&minion, "r1", LONG_TIMEOUT).await.unwrap();
    let stall = Direction { stall: true, delay_ms: 0 };
    let faults = RelayFaults { back: stall, spare_new: true, ..RelayFaults::default() };
    relay.control().set_faults(&faults).await.unwrap();
    assert_eq!(send(&minion, "r2", SHORT_TIMEOUT).await, Err(MinionError::TimedOut));
    assert_eq!(send(&minion, "r3", LONG_TIMEOUT).await.unwrap().body, response_to("r3", 0));
    assert_eq!(runs(&standin).await, 3);
}

/// Guards against a response without a length that is forwarded as complete; it cannot be
/// distinguished from a truncated one.
#[tokio::test]
async fn response_without_a_length_is_an_error() {
    let listener = TcpListener::bind(ANY_PORT).await.unwrap();
    let minion = Minion::new(listener.local_addr().unwrap(), 1);
    let server = tokio::spawn(async move {
        let (mut stream, _) = listener.accept().await.unwrap();
        let mut buf = [0; 4096];
        let _ = stream.read(&mut buf).await.unwrap();
        stream.write_all(b"HTTP/1.1 200 OK\r\n\r\nhalf of it").await.unwrap();
    });
    assert_matches!(send(&minion, "r1", LONG_TIMEOUT).await, Err(MinionError::Truncated(_)));
    server.await.unwrap();
}

/// Guards against forwarding headers that apply to one connection. The `Connection: close` of a
/// caller would make the minion open a new connection for each request.
#[tokio::test]
async fn hop_by_hop_headers_are_not_forwarded() {
    let (standin, minion) = minion().await;
    for n in 0..5 {
        let mut headers = HeaderMap::new();
        headers.insert("connection", HeaderValue::from_static("close, x-private"));
        headers.insert("x-private", HeaderValue::from_static("1"));
        headers.insert("transfer-encoding", HeaderValue::from_static("chunked"));
        headers.insert("x-request-id", HeaderValue::from_str(&format!("r{n}")).unwrap());
        let body = Bytes::from_static(b"body");
        let response =
            minion.send(Method::POST, "/filing", headers, body.clone(), LONG_TIMEOUT).await;
        assert_eq!(response.unwrap().body, expected_answer(&format!("r{n}"), &body, 0));
    }
    let counts: MinionCounts = standin.control().read("counts").await.unwrap();
    assert_eq!(counts.most_connections, 1);
    assert_eq!(counts.connections, 1);
}
