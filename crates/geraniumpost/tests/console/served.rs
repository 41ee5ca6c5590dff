//! Tests of the console on a TCP listener.

use std::time::Duration;

use geraniumpost::client::ApiClient;
use http::Method;
use proptest::prelude::*;
use proptest::strategy::ValueTree as _;

use crate::common::ANY;
use crate::fixture::Fixture;

/// Calls over HTTP must be answered until the console is stopped, also after one with too large a
/// body.
#[tokio::test]
async fn served_over_http_until_stopped() {
    let (fixture, revision) = Fixture::with_document().await;
    let listener = tokio::net::TcpListener::bind(ANY).await.unwrap();
    let address = listener.local_addr().unwrap();
    let (stop, stopped) = tokio::sync::oneshot::channel::<()>();
    let stop_signal = async move { drop(stopped.await) };
    let served = tokio::spawn(fixture.console.clone().serve(listener, stop_signal));
    let client = ApiClient::new(address, "o");
    let status = client.call(Method::GET, "/api/status", Vec::new()).await.unwrap();
    assert_eq!((status.status, status.body["revision"].as_u64()), (200, Some(revision)));
    let large = client.call(Method::POST, "/api/config/check", vec![b' '; (1 << 20) + 1]).await;
    assert!(large.is_err() || large.is_ok_and(|reply| reply.body["code"] == 4004));
    let metrics = ApiClient::new(address, "").call(Method::GET, "/metrics", Vec::new()).await;
    assert_eq!(metrics.unwrap().status, 200);
    drop(stop);
    tokio::time::timeout(Duration::from_secs(5), served).await.unwrap().unwrap();
    assert!(client.call(Method::GET, "/api/status", Vec::new()).await.is_err());
}

/// An entry is stopped while the planner does not respond to an operator's call for longer than the
/// stop waits. The process exits as soon as the console has ended, so by then the operator must
/// have got the response that the outcome is unknown.
#[tokio::test]
async fn calls_that_outlast_a_stop_are_answered_before_its_end() {
    let (fixture, _) = Fixture::with_document().await;
    let console = fixture.with_silent_planner().await;
    let listener = tokio::net::TcpListener::bind(ANY).await.unwrap();
    let address = listener.local_addr().unwrap();
    let (stop, stopped) = tokio::sync::oneshot::channel::<()>();
    let stop_signal = async move { drop(stopped.await) };
    let served = tokio::spawn(console.serve(listener, stop_signal));
    let call = tokio::spawn(async move {
        ApiClient::new(address, "o").call(Method::GET, "/api/jobs/study-1", Vec::new()).await
    });
    tokio::time::sleep(Duration::from_millis(300)).await;
    drop(stop);
    tokio::time::timeout(Duration::from_secs(15), served).await.unwrap().unwrap();
    let reply = tokio::time::timeout(Duration::from_millis(300), call).await;
    let reply = reply.expect("a reply before the console has ended").unwrap().unwrap();
    assert_eq!((reply.status, reply.body["code"].as_u64()), (503, Some(4014)), "{reply:?}");
}

/// Malformed headers, incomplete requests and random bytes are sent to the console's port. Each of
/// these connections must be answered or closed, and a valid call must be answered afterwards.
#[tokio::test]
async fn malformed_requests_do_not_disturb_other_calls() {
    use tokio::io::{AsyncReadExt as _, AsyncWriteExt as _};
    let (fixture, _) = Fixture::with_document().await;
    let listener = tokio::net::TcpListener::bind(ANY).await.unwrap();
    let address = listener.local_addr().unwrap();
    let served = fixture.console.clone().serve(listener, std::future::pending());
    let served = tokio::spawn(served);
    let mut runner = proptest::test_runner::TestRunner::deterministic();
    let malformed = prop_oneof![
        prop::collection::vec(any::<u8>(), 0..300),
        "(GET|PUT|POST) /(api/config|login|%|\\PC{0,9}) HTTP/1\\.[019]\r\n(Host: x\r\n|If-Match: \\PC{0,9}\r\n|Content-Length: [0-9]{1,20}\r\n|Transfer-Encoding: chunked\r\n){0,4}\r\n(zz\r\n|5\r\nhello\r\n){0,3}"
            .prop_map(String::into_bytes),
    ];
    for _ in 0..200 {
        let bytes = malformed.new_tree(&mut runner).unwrap().current();
        let mut stream = tokio::net::TcpStream::connect(address).await.unwrap();
        let _ = stream.write_all(&bytes).await;
        let _ = stream.shutdown().await;
        let mut response = Vec::new();
        let read = stream.read_to_end(&mut response);
        assert!(tokio::time::timeout(Duration::from_secs(15), read).await.is_ok(), "{bytes:?}");
    }
    let status = ApiClient::new(address, "o").call(Method::GET, "/api/status", Vec::new()).await;
    assert_eq!(status.unwrap().status, 200);
    assert!(!served.is_finished());
}
