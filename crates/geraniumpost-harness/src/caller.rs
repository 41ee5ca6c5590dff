use std::net::SocketAddr;
use std::time::{Duration, Instant};

use bytes::Bytes;
use eyre::{Result, ensure};
use geraniumpost_core::ResultCode;
use http::{Request, Response, StatusCode};
use http_body_util::Full;

use crate::check::{Told, Word};
use crate::plan::{CUSTOMER_TOKEN, SERVICE};
use crate::{KeptCaller, Send};

/// How much longer than the request's deadline a caller waits for a word.
pub(crate) const PATIENCE: Duration = Duration::from_secs(5);

/// A caller of the service that opens a connection for each request.
#[derive(Debug, Clone)]
pub struct Caller {
    entry: SocketAddr,
    token: String,
}

impl Caller {
    /// Creates a caller that uses the entry at this address.
    pub fn new(entry: SocketAddr) -> Self {
        Self { entry, token: CUSTOMER_TOKEN.to_owned() }
    }

    /// Sets the bearer token.
    #[must_use]
    pub fn token(mut self, token: &str) -> Self {
        token.clone_into(&mut self.token);
        self
    }

    /// Opens a connection that is kept for further requests.
    pub async fn keep(&self) -> Result<KeptCaller> {
        KeptCaller::open(self.clone()).await
    }

    /// Sends a request on a connection of its own and waits for the last word about it.
    pub async fn send(&self, send: &Send) -> Told {
        let start = Instant::now();
        match self.keep().await {
            Ok(mut kept) => kept.send(send).await,
            Err(_) => send.told(Word::Unreachable, 0, start.elapsed()),
        }
    }

    pub(crate) const fn entry(&self) -> SocketAddr {
        self.entry
    }

    pub(crate) fn request(&self, send: &Send) -> Result<Request<Full<Bytes>>> {
        let mut req = Request::builder()
            .method(send.method.clone())
            .uri(format!("/{SERVICE}/check"))
            .header("host", self.entry.to_string())
            .header("authorization", format!("Bearer {}", self.token))
            .header("x-request-timeout-ms", send.timeout.as_millis().to_string())
            .header("x-work-ms", send.work_ms)
            .header("x-answer-bytes", send.answer_bytes);
        if !send.request_id.is_empty() {
            req = req.header("x-request-id", &send.request_id);
        }
        if !send.key.is_empty() {
            req = req.header("idempotency-key", &send.key);
        }
        Ok(req.body(Full::new(send.body.clone()))?)
    }
}

pub(crate) fn code_of<B>(answer: &Response<B>) -> u16 {
    let code = answer.headers().get("x-result-code");
    code.and_then(|code| code.to_str().ok()?.parse().ok()).unwrap_or(0)
}

pub(crate) fn word_of(code: u16, status: StatusCode, body: Bytes) -> Result<Word> {
    let known = ResultCode::ALL.iter().find(|known| known.number() == code);
    ensure!(known.is_some(), "no known result code in an answer of status {status}: {code}");
    Ok(match known {
        Some(ResultCode::Answered) => Word::Answered { status: status.as_u16(), body },
        Some(code) if code.is_not_run() => Word::NotRun,
        _ => Word::MayHaveRun,
    })
}
