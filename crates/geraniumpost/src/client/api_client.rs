use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use derive_more::{Display, Error};
use http::header::AUTHORIZATION;
use http::{Method, Request};
use http_body_util::{BodyExt as _, Full, Limited};
use hyper_util::client::legacy::Client;
use hyper_util::client::legacy::connect::HttpConnector;
use hyper_util::rt::TokioExecutor;
use serde_json::Value;

use super::ApiReply;

/// Maximum size of an answer in bytes. The list of all jobs is the largest answer.
const MAX_ANSWER_BYTES: usize = 16 << 20;

/// Error of a call that the entry did not answer; the call may have been carried out.
#[derive(Debug, Display, Error)]
#[display("{_0}")]
pub struct Unreachable(#[error(not(source))] String);

/// Client of the operators' API of one entry.
#[derive(Debug, Clone)]
pub struct ApiClient {
    entry: SocketAddr,
    token: String,
    timeout: Duration,
    headers: Vec<(&'static str, String)>,
    http: Client<HttpConnector, Full<Bytes>>,
}

impl ApiClient {
    /// Creates a client that authenticates as the operator with `token`.
    pub fn new(entry: SocketAddr, token: impl Into<String>) -> Self {
        Self {
            entry,
            token: token.into(),
            timeout: Duration::from_secs(20),
            headers: Vec::new(),
            http: Client::builder(TokioExecutor::new()).build_http(),
        }
    }

    /// Sets the timeout of each call.
    #[must_use]
    pub const fn timeout(mut self, timeout: Duration) -> Self {
        self.timeout = timeout;
        self
    }

    /// Adds a header to every call.
    #[must_use]
    pub fn header(mut self, name: &'static str, value: impl Into<String>) -> Self {
        self.headers.push((name, value.into()));
        self
    }

    /// Makes a call and returns the answer.
    ///
    /// # Errors
    ///
    /// Fails if the complete answer does not arrive before the timeout.
    pub async fn call(
        &self,
        method: Method,
        path: &str,
        body: Vec<u8>,
    ) -> Result<ApiReply, Unreachable> {
        let exchange = tokio::time::timeout(self.timeout, self.exchange(method, path, body));
        let entry = self.entry;
        let timed_out = |_| Unreachable(format!("the entry at {entry} did not answer in time"));
        exchange.await.map_err(timed_out)?
    }

    async fn exchange(
        &self,
        method: Method,
        path: &str,
        body: Vec<u8>,
    ) -> Result<ApiReply, Unreachable> {
        let entry = self.entry;
        let failed = |reason: String| {
            Unreachable(format!("the call to the entry at {entry} failed: {reason}"))
        };
        let mut req = Request::builder()
            .method(method)
            .uri(format!("http://{entry}{path}"))
            .header(AUTHORIZATION, format!("Bearer {}", self.token));
        for (name, value) in &self.headers {
            req = req.header(*name, value);
        }
        let req = req
            .body(Full::new(Bytes::from(body)))
            .map_err(|e| failed(format!("invalid token or path: {e}")))?;
        let answer = self.http.request(req).await.map_err(|e| failed(error_chain(&e)))?;
        let status = answer.status().as_u16();
        let body = Limited::new(answer.into_body(), MAX_ANSWER_BYTES).collect().await;
        let bytes = body.map_err(|e| failed(e.to_string()))?.to_bytes();
        let text = || Value::from(String::from_utf8_lossy(&bytes).into_owned());
        Ok(ApiReply { status, body: serde_json::from_slice(&bytes).unwrap_or_else(|_| text()) })
    }
}

/// Joins an error with its causes. The outermost error of the client says only "client error".
fn error_chain(error: &dyn std::error::Error) -> String {
    let mut text = error.to_string();
    let mut next = error.source();
    while let Some(cause) = next {
        text = format!("{text}: {cause}");
        next = cause.source();
    }
    text
}
