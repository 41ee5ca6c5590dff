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

/// Client that keeps its connections open, to an entry or directly to a minion.
#[derive(Debug, Clone)]
pub struct Target {
    client: Client<HttpConnector, Full<Bytes>>,
    addresses: Vec<SocketAddr>,
    token: String,
}

/// What a request asks for.
#[derive(Debug, Clone, Copy)]
pub struct Ask {
    /// Time that the minion works, in milliseconds.
    pub work_ms: u64,
    /// Deadline that the request carries.
    pub deadline: Duration,
    /// Whether it may run at most once.
    pub once: bool,
}

impl Target {
    /// Creates a client that spreads its requests over addresses in turn.
    pub fn new(addresses: Vec<SocketAddr>, token: &str) -> Self {
        let mut connector = HttpConnector::new();
        connector.set_nodelay(true);
        let client = Client::builder(TokioExecutor::new()).build(connector);
        Self { client, addresses, token: token.to_owned() }
    }

    /// Sends a request; returns whether a whole answer of the minion came.
    pub async fn send(&self, number: usize, ask: Ask) -> bool {
        self.exchange(number, ask).await.unwrap_or(false)
    }

    async fn exchange(&self, number: usize, ask: Ask) -> Result<bool> {
        let address = self.addresses[number % self.addresses.len()];
        let method = if ask.once { Method::POST } else { Method::GET };
        let req = Request::builder()
            .method(method)
            .uri(format!("http://{address}/{SERVICE}/check"))
            .header(header::AUTHORIZATION, format!("Bearer {}", self.token))
            .header("x-request-timeout-ms", ask.deadline.as_millis().to_string())
            .header("x-work-ms", ask.work_ms)
            .body(Full::default())?;
        let answer = self.client.request(req).await?;
        let success = answer.status().is_success();
        answer.into_body().collect().await?;
        Ok(success)
    }
}
