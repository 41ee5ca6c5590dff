use std::net::SocketAddr;
use std::time::{Duration, Instant};

use bytes::Bytes;
use eyre::{Result, ensure};
use geraniumpost_core::ResultCode;
use http::{Request, Response, StatusCode};
use http_body_util::Full;

use crate::check::{ObservedRequest, Outcome};
use crate::plan::{CUSTOMER_TOKEN, SERVICE};
use crate::{CallerConnection, RequestSpec};

/// Time for which a caller waits for a response after the deadline of its request.
pub(crate) const DEADLINE_MARGIN: Duration = Duration::from_secs(5);

/// A caller of the service that opens a new connection for each request.
#[derive(Debug, Clone)]
pub struct Caller {
    entry: SocketAddr,
    token: String,
}

impl Caller {
    /// Creates a caller that sends to the entry at this address.
    pub fn new(entry: SocketAddr) -> Self {
        Self { entry, token: CUSTOMER_TOKEN.to_owned() }
    }

    /// Sets the bearer token.
    #[must_use]
    pub fn token(mut self, token: &str) -> Self {
        token.clone_into(&mut self.token);
        self
    }

    /// Opens a connection for several requests.
    pub async fn connect(&self) -> Result<CallerConnection> {
        CallerConnection::open(self.clone()).await
    }

    /// Sends a request over a new connection and waits for its outcome.
    pub async fn send(&self, spec: &RequestSpec) -> ObservedRequest {
        let start = Instant::now();
        match self.connect().await {
            Ok(mut connection) => connection.send(spec).await,
            Err(_) => spec.observed(Outcome::Unreachable, 0, start.elapsed()),
        }
    }

    pub(crate) const fn entry(&self) -> SocketAddr {
        self.entry
    }

    pub(crate) fn request(&self, spec: &RequestSpec) -> Result<Request<Full<Bytes>>> {
        let mut req = Request::builder()
            .method(spec.method.clone())
            .uri(format!("/{SERVICE}/check"))
            .header("host", self.entry.to_string())
            .header("authorization", format!("Bearer {}", self.token))
            .header("x-request-timeout-ms", spec.timeout.as_millis().to_string())
            .header("x-work-ms", spec.work_ms)
            .header("x-answer-bytes", spec.answer_bytes);
        if !spec.request_id.is_empty() {
            req = req.header("x-request-id", &spec.request_id);
        }
        if !spec.key.is_empty() {
            req = req.header("idempotency-key", &spec.key);
        }
        Ok(req.body(Full::new(spec.body.clone()))?)
    }
}

pub(crate) fn result_code_of<B>(answer: &Response<B>) -> u16 {
    let code = answer.headers().get("x-result-code");
    code.and_then(|code| code.to_str().ok()?.parse().ok()).unwrap_or(0)
}

pub(crate) fn outcome_of(code: u16, status: StatusCode, body: Bytes) -> Result<Outcome> {
    let known = ResultCode::ALL.iter().find(|known| known.number() == code);
    ensure!(known.is_some(), "response of status {status} has the unknown result code {code}");
    Ok(match known {
        Some(ResultCode::Answered) => Outcome::Answered { status: status.as_u16(), body },
        Some(code) if code.is_not_run() => Outcome::NotRun,
        _ => Outcome::MayHaveRun,
    })
}
