//! Tests of the HTTP listener for an agent's metrics.

use std::net::{IpAddr, Ipv4Addr, SocketAddr};
use std::sync::Arc;
use std::time::Duration;

use geraniumpost::client::ApiClient;
use geraniumpost::metrics::{Metrics, serve_metrics};
use http::Method;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::oneshot;

const ANY: SocketAddr = SocketAddr::new(IpAddr::V4(Ipv4Addr::LOCALHOST), 0);

#[tokio::test]
async fn metrics_are_served_until_stopped() {
    let metrics = Arc::new(Metrics::new().unwrap());
    metrics.config_revision(7);
    let listener = TcpListener::bind(ANY).await.unwrap();
    let address = listener.local_addr().unwrap();
    let (stop, stopped) = oneshot::channel::<()>();
    let served = tokio::spawn(serve_metrics(listener, metrics, async move { drop(stopped.await) }));
    let client = ApiClient::new(address, "");
    let reply = client.call(Method::GET, "/metrics", Vec::new()).await.unwrap();
    assert_eq!(reply.status, 200);
    assert!(reply.body.as_str().unwrap().contains("geraniumpost_config_revision 7"));
    assert_eq!(client.call(Method::GET, "/other", Vec::new()).await.unwrap().status, 404);
    assert_eq!(client.call(Method::PUT, "/metrics", Vec::new()).await.unwrap().status, 405);
    drop(stop);
    tokio::time::timeout(Duration::from_secs(5), served).await.unwrap().unwrap();
}

/// Many connections are opened over which no request is sent. They must be closed after a timeout,
/// so that a waiting reader of the metrics gets a response.
#[tokio::test]
async fn silent_connections_are_closed() {
    let metrics = Arc::new(Metrics::new().unwrap());
    let listener = TcpListener::bind(ANY).await.unwrap();
    let address = listener.local_addr().unwrap();
    tokio::spawn(serve_metrics(listener, metrics, std::future::pending()));
    let mut silent = Vec::new();
    for _ in 0..20 {
        silent.push(TcpStream::connect(address).await.unwrap());
    }
    let reply = ApiClient::new(address, "").call(Method::GET, "/metrics", Vec::new()).await;
    assert_eq!(reply.unwrap().status, 200);
}
