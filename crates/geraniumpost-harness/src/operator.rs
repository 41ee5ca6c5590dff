use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use eyre::{Result, WrapErr};
use http::{Method, Request, StatusCode};
use http_body_util::{BodyExt, Full};
use hyper::client::conn::http1;
use hyper_util::rt::TokioIo;
use serde_json::{Value, json};
use tokio::net::TcpStream;
use tokio::time::timeout;

use crate::plan::{CUSTOMER, OPERATOR_TOKEN};

/// Maximum time for one call.
const CALL_TIMEOUT: Duration = Duration::from_secs(10);

/// A client of the operators' API of an entry.
#[derive(Debug, Clone, Copy)]
pub struct Operator {
    console: SocketAddr,
}

impl Operator {
    /// Creates a client of the API on the console listener at this address.
    pub const fn new(console: SocketAddr) -> Self {
        Self { console }
    }

    /// Sends a GET request. A body that is not JSON is returned as a string.
    pub async fn get(&self, path: &str) -> Result<(StatusCode, Value)> {
        self.call(Method::GET, path, &Value::Null).await
    }

    /// Submits a job of the class `study`. Submissions are idempotent by the id of the job.
    pub async fn submit(
        &self,
        job: &str,
        milli_cpus: u64,
        command: &str,
    ) -> Result<(StatusCode, Value)> {
        let body = json!({
            "customer": CUSTOMER,
            "class": "study",
            "milli_cpus": milli_cpus,
            "memory_mb": 512,
            "command": command,
        });
        self.call(Method::PUT, &format!("/api/jobs/{job}"), &body).await
    }

    /// Sends a request with a JSON body, or without a body if `body` is `Null`.
    pub async fn call(
        &self,
        method: Method,
        path: &str,
        body: &Value,
    ) -> Result<(StatusCode, Value)> {
        let call = self.exchange(method, path, None, body);
        timeout(CALL_TIMEOUT, call).await.wrap_err_with(|| format!("no response to {path}"))?
    }

    /// Sends a PUT request that is conditional on a revision (`If-Match`).
    pub async fn put_if_match(
        &self,
        path: &str,
        revision: u64,
        body: &Value,
    ) -> Result<(StatusCode, Value)> {
        let call = self.exchange(Method::PUT, path, Some(revision), body);
        timeout(CALL_TIMEOUT, call).await.wrap_err_with(|| format!("no response to {path}"))?
    }

    async fn exchange(
        &self,
        method: Method,
        path: &str,
        revision: Option<u64>,
        body: &Value,
    ) -> Result<(StatusCode, Value)> {
        let stream = TcpStream::connect(self.console).await?;
        let (mut sender, connection) = http1::handshake(TokioIo::new(stream)).await?;
        let driver = tokio::spawn(connection);
        let body = if body.is_null() { Bytes::new() } else { serde_json::to_vec(body)?.into() };
        let mut req = Request::builder()
            .method(method)
            .uri(path)
            .header("host", self.console.to_string())
            .header("authorization", format!("Bearer {OPERATOR_TOKEN}"))
            .header("content-type", "application/json")
            .header("accept", "application/json");
        if let Some(revision) = revision {
            req = req.header("if-match", format!("\"{revision}\""));
        }
        let req = req.body(Full::new(body))?;
        let response = sender.send_request(req).await?;
        let status = response.status();
        let body = response.into_body().collect().await?.to_bytes();
        driver.abort();
        let text = || Value::String(String::from_utf8_lossy(&body).into_owned());
        Ok((status, serde_json::from_slice(&body).unwrap_or_else(|_| text())))
    }
}
