//! The minion's adapter against the stand-in, with and without faults.

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

const ANY: SocketAddr = SocketAddr::new(std::net::IpAddr::V4(std::net::Ipv4Addr::LOCALHOST), 0);
const LONG: Duration = Duration::from_secs(20);
const SHORT: Duration = Duration::from_millis(300);

async fn minion() -> (Standin, Minion) {
    let standin = spawn_in_process(ANY, ANY, MinionOptions::default()).await.unwrap();
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
    answer_bytes: usize,
    time: Duration,
) -> Result<Answer, MinionError> {
    let mut headers = HeaderMap::new();
    headers.insert("x-request-id", HeaderValue::from_str(id).unwrap());
    headers.insert("x-work-ms", work_ms.into());
    headers.insert("x-answer-bytes", answer_bytes.into());
    minion.send(Method::POST, "/filing/check", headers, body_of(id), time).await
}

fn body_of(id: &str) -> Bytes {
    format!("body of {id}").into()
}

fn own_answer(id: &str, answer_bytes: usize) -> Bytes {
    expected_answer(id, &body_of(id), answer_bytes)
}

async fn set(standin: &Standin, faults: MinionFaults) {
    standin.control().set_faults(&faults).await.unwrap();
}

async fn runs(standin: &Standin) -> usize {
    let record: Vec<MinionEvent> = standin.control().read("record").await.unwrap();
    record.iter().filter(|event| event.target.starts_with("POST")).map(|e| e.run).max().unwrap_or(0)
        as usize
}

/// Names each case of a request to a minion with a fault.
macro_rules! request_to_faulty_minion {
    ($($(#[$doc:meta])* $name:ident: $faults:expr => $error:pat, runs: $runs:expr;)*) => {$(
        $(#[$doc])*
        #[tokio::test]
        async fn $name() {
            let (standin, minion) = minion().await;
            set(&standin, $faults).await;
            let result = send_sized(&minion, "r1", 0, 100_000, SHORT).await;
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
    /// The minion's process is gone. The caller may be told "not run", and a badge may be printed
    /// by another minion.
    request_to_a_refused_port_did_not_run: down(Down::Refuse) => MinionError::NotSent(_), runs: 0;
    /// The minion reads the request and dies. Whether it ran cannot be known here, so a badge
    /// must not be printed by another.
    request_closed_unanswered_may_have_run: down(Down::Close) => MinionError::Failed(_), runs: 0;
    /// The minion runs the request and dies before the answer.
    answer_lost_after_the_run_may_have_run:
        mode(MinionMode::Close) => MinionError::Failed(_), runs: 1;
    /// The minion stops in the middle of its answer. Half a gate log must not pass for all of it.
    answer_cut_short_is_not_passed_off_as_whole:
        mode(MinionMode::Truncate) => MinionError::Truncated(_), runs: 1;
    /// The minion begins and never ends.
    hanging_minion_times_out: mode(MinionMode::Hang) => MinionError::TimedOut, runs: 1;
}

#[tokio::test]
async fn answer_is_whole_and_the_requests_own() {
    let (_standin, minion) = minion().await;
    for (n, size) in [0, 1, 5000, 3_000_000].into_iter().enumerate() {
        let id = format!("r{n}");
        let answer = send_sized(&minion, &id, 0, size, LONG).await.unwrap();
        assert_eq!(answer.body, own_answer(&id, size));
        assert_eq!(answer.headers["x-request-id"], id.as_str());
        assert!(!answer.headers.contains_key("content-length"));
    }
}

#[tokio::test]
async fn error_status_is_an_answer() {
    let (standin, minion) = minion().await;
    set(&standin, mode(MinionMode::Fail)).await;
    assert_eq!(send(&minion, "r1", LONG).await.unwrap().status, 500);
}

#[tokio::test]
async fn answer_over_the_limit_is_an_error() {
    let (_standin, minion) = minion().await;
    let minion = minion.max_response_bytes(1000);
    let result = send_sized(&minion, "r1", 0, 2000, LONG).await;
    assert_eq!(result, Err(MinionError::TooLarge(1000)));
}

/// More requests arrive than the minion accepts connections. It must never see more, and what
/// finds no connection in time certainly did not run.
#[tokio::test]
async fn connections_stay_within_the_limit() {
    let standin = spawn_in_process(ANY, ANY, MinionOptions::default()).await.unwrap();
    let minion = Minion::new(standin.address(), 4);
    let calls: Vec<_> = (0..40)
        .map(|n| {
            let minion = minion.clone();
            tokio::spawn(async move { send_sized(&minion, &format!("r{n}"), 20, 0, LONG).await })
        })
        .collect();
    for (n, call) in calls.into_iter().enumerate() {
        assert_eq!(call.await.unwrap().unwrap().body, own_answer(&format!("r{n}"), 0));
    }
    let counts: MinionCounts = standin.control().read("counts").await.unwrap();
    assert!(counts.most_connections <= 4, "{counts:?}");
    set(&standin, mode(MinionMode::Hang)).await;
    let hanging: Vec<_> = (0..4)
        .map(|n| {
            let minion = minion.clone();
            tokio::spawn(async move { send(&minion, &format!("h{n}"), LONG).await })
        })
        .collect();
    wait_for_runs(&standin, 44).await;
    assert_matches!(send(&minion, "late", SHORT).await, Err(MinionError::NotSent(_)));
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

/// The minion restarts between two requests and its old connections end. The second request must
/// not fail because of a connection that nobody had looked at.
#[tokio::test]
async fn connection_closed_while_idle_is_replaced() {
    let (standin, minion) = minion().await;
    for round in 0..10 {
        send(&minion, &format!("r{round}"), LONG).await.unwrap();
        set(&standin, down(Down::Close)).await;
        set(&standin, mode(MinionMode::Serve)).await;
        tokio::time::sleep(Duration::from_millis(50)).await;
    }
    assert_eq!(runs(&standin).await, 10);
}

/// Minions restart under load, again and again. Whatever was reported as not sent must be missing
/// from the minion's record, or a badge sent elsewhere would print twice.
#[tokio::test]
async fn not_sent_is_true_while_connections_break() {
    let (standin, minion) = minion().await;
    let breaker = async {
        for round in 0..120 {
            let fault = if round % 2 == 0 { Down::Close } else { Down::Refuse };
            set(&standin, down(fault)).await;
            tokio::time::sleep(Duration::from_millis(2)).await;
            set(&standin, mode(MinionMode::Serve)).await;
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
                    match send(&minion, &id, LONG).await {
                        Ok(answer) => assert_eq!(answer.body, own_answer(&id, 0)),
                        Err(e) if e.did_not_run() => unsent.push(id),
                        Err(_) => {}
                    }
                    tokio::time::sleep(Duration::from_millis(2)).await;
                }
                unsent
            })
        })
        .collect();
    breaker.await;
    let record_of_run =
        |record: &[MinionEvent], id: &str| record.iter().any(|e| e.request_id == id);
    let mut unsent = Vec::new();
    for caller in callers {
        unsent.extend(caller.await.unwrap());
    }
    let record: Vec<MinionEvent> = standin.control().read("record").await.unwrap();
    let ran: Vec<_> = unsent.iter().filter(|id| record_of_run(&record, id)).collect();
    assert!(ran.is_empty(), "reported as not sent, yet run: {ran:?}");
    assert!(!unsent.is_empty(), "no request met a refused connection");
}

/// Something between agent and minion loses track of a connection, which goes silent for good. The
/// request on it must time out and not be called unsent, and the next one must get through.
#[tokio::test]
async fn silent_connection_times_out_and_the_next_is_new() {
    let (standin, _) = minion().await;
    let relay = relay::spawn_in_process(ANY, ANY, Protocol::Tcp, standin.address()).await.unwrap();
    let minion = Minion::new(relay.address(), 64);
    send(&minion, "r1", LONG).await.unwrap();
    let stall = Direction { stall: true, delay_ms: 0 };
    let faults = RelayFaults { back: stall, spare_new: true, ..RelayFaults::default() };
    relay.control().set_faults(&faults).await.unwrap();
    assert_eq!(send(&minion, "r2", SHORT).await, Err(MinionError::TimedOut));
    assert_eq!(send(&minion, "r3", LONG).await.unwrap().body, own_answer("r3", 0));
    assert_eq!(runs(&standin).await, 3);
}

/// A minion answers without stating a length and closes. Nobody can tell such an answer from one
/// whose rest was lost, so it must not be passed on as whole.
#[tokio::test]
async fn answer_without_a_length_is_not_taken_for_whole() {
    let listener = TcpListener::bind(ANY).await.unwrap();
    let minion = Minion::new(listener.local_addr().unwrap(), 1);
    let server = tokio::spawn(async move {
        let (mut stream, _) = listener.accept().await.unwrap();
        let mut buf = [0; 4096];
        let _ = stream.read(&mut buf).await.unwrap();
        stream.write_all(b"HTTP/1.1 200 OK\r\n\r\nhalf of it").await.unwrap();
    });
    assert_matches!(send(&minion, "r1", LONG).await, Err(MinionError::Truncated(_)));
    server.await.unwrap();
}

/// A caller's `Connection: close` is meant for the entry. Passed on, it would cost the minion a
/// new connection for each request.
#[tokio::test]
async fn headers_of_one_connection_are_not_passed_on() {
    let (standin, minion) = minion().await;
    for n in 0..5 {
        let mut headers = HeaderMap::new();
        headers.insert("connection", HeaderValue::from_static("close, x-private"));
        headers.insert("x-private", HeaderValue::from_static("1"));
        headers.insert("transfer-encoding", HeaderValue::from_static("chunked"));
        headers.insert("x-request-id", HeaderValue::from_str(&format!("r{n}")).unwrap());
        let body = Bytes::from_static(b"body");
        let answer = minion.send(Method::POST, "/filing", headers, body.clone(), LONG).await;
        assert_eq!(answer.unwrap().body, expected_answer(&format!("r{n}"), &body, 0));
    }
    let counts: MinionCounts = standin.control().read("counts").await.unwrap();
    assert_eq!(counts.most_connections, 1);
    assert_eq!(counts.connections, 1);
}
