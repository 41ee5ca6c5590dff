use std::time::Instant;

use bytes::Bytes;
use eyre::Result;
use http_body_util::{BodyExt, Full};
use hyper::client::conn::http1::{self, SendRequest};
use hyper_util::rt::TokioIo;
use tokio::net::TcpStream;
use tokio::task::AbortHandle;
use tokio::time::timeout;

use crate::caller::{DEADLINE_MARGIN, outcome_of, result_code_of};
use crate::check::{ObservedRequest, Outcome};
use crate::{Caller, RequestSpec};

/// A caller's connection for requests that are sent one after another, as load balancers send them.
#[derive(Debug)]
pub struct CallerConnection {
    caller: Caller,
    sender: SendRequest<Full<Bytes>>,
    driver: AbortHandle,
}

impl CallerConnection {
    /// Opens the connection.
    pub(crate) async fn open(caller: Caller) -> Result<Self> {
        let stream = TcpStream::connect(caller.entry()).await?;
        stream.set_nodelay(true)?;
        let (sender, connection) = http1::handshake(TokioIo::new(stream)).await?;
        let driver = tokio::spawn(connection).abort_handle();
        Ok(Self { caller, sender, driver })
    }

    /// Returns whether the connection is open, as far as that is known before a request is sent.
    pub async fn is_open(&mut self) -> bool {
        self.sender.ready().await.is_ok()
    }

    /// Sends a request and waits for its outcome.
    pub async fn send(&mut self, spec: &RequestSpec) -> ObservedRequest {
        let start = Instant::now();
        let result = timeout(spec.timeout + DEADLINE_MARGIN, self.exchange(spec)).await;
        let (outcome, code) =
            result.unwrap_or(Ok((Outcome::NoResponse, 0))).unwrap_or((Outcome::NoResponse, 0));
        spec.observed(outcome, code, start.elapsed())
    }

    async fn exchange(&mut self, spec: &RequestSpec) -> Result<(Outcome, u16)> {
        let answer = self.sender.send_request(self.caller.request(spec)?).await?;
        let (code, status) = (result_code_of(&answer), answer.status());
        let body = answer.into_body().collect().await?.to_bytes();
        Ok((outcome_of(code, status, body)?, code))
    }
}

impl Drop for CallerConnection {
    fn drop(&mut self) {
        self.driver.abort();
    }
}
