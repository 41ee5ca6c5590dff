use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use eyre::Result;
use geraniumpost_harness::SERVICE;
use http::{Method, Request, header};
use http_body_util::{BodyExt as _, Full};
use hyper_util::client::legacy::Client;
use hyper_util::client::legacy::connect::HttpConnector;
use hyper_util::rt::TokioExecutor;

/// HTTP client with persistent connections to entries, or directly to minions.
#[derive(Debug, Clone)]
pub struct LoadClient {
    client: Client<HttpConnector, Full<Bytes>>,
    addresses: Vec<SocketAddr>,
    token: String,
}

/// Work, deadline and semantics of the requests of a measurement.
#[derive(Debug, Clone, Copy)]
pub struct RequestProfile {
    /// Time for which the minion works on a request, in milliseconds.
    pub work_ms: u64,
    /// Deadline in the request's header.
    pub deadline: Duration,
    /// Whether the request is a `POST`, which may run at most once.
    pub at_most_once: bool,
}

impl LoadClient {
    /// Creates a client that sends its requests to the addresses in turn.
    pub fn new(addresses: Vec<SocketAddr>, token: &str) -> Self {
        let mut connector = HttpConnector::new();
        connector.set_nodelay(true);
        let client = Client::builder(TokioExecutor::new()).build(connector);
        Self { client, addresses, token: token.to_owned() }
    }

    /// Sends a request; returns whether a complete, successful response was received.
    pub async fn send(&self, number: usize, profile: RequestProfile) -> bool {
        self.exchange(number, profile).await.unwrap_or(false)
    }

    async fn exchange(&self, number: usize, profile: RequestProfile) -> Result<bool> {
        let address = self.addresses[number % self.addresses.len()];
        let method = if profile.at_most_once { Method::POST } else { Method::GET };
        let req = Request::builder()
            .method(method)
            .uri(format!("http://{address}/{SERVICE}/check"))
            .header(header::AUTHORIZATION, format!("Bearer {}", self.token))
            .header("x-request-timeout-ms", profile.deadline.as_millis().to_string())
            .header("x-work-ms", profile.work_ms)
            .body(Full::default())?;
        let response = self.client.request(req).await?;
        let success = response.status().is_success();
        response.into_body().collect().await?;
        Ok(success)
    }
}
