use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use http::{HeaderMap, Method, Request};
use http_body_util::Full;

use super::{Answer, MinionError, strip_hop_by_hop};
use crate::http::Client;

/// Largest answer unless [`Minion::max_response_bytes`] sets another.
const MAX_ANSWER: usize = 64 << 20;

/// Client of one minion, cheap to clone, that never opens more connections than it was given.
#[derive(Debug, Clone)]
pub struct Minion {
    address: SocketAddr,
    connections: usize,
    client: Arc<Client>,
}

impl Minion {
    /// Creates a client of the minion at `address` with at most `connections` connections.
    pub fn new(address: SocketAddr, connections: usize) -> Self {
        let client = Arc::new(Client::new(address, connections, MAX_ANSWER));
        Self { address, connections, client }
    }

    /// Sets the largest answer in bytes; to be called before any clone sends.
    #[must_use]
    pub fn max_response_bytes(mut self, bytes: usize) -> Self {
        self.client = Arc::new(Client::new(self.address, self.connections, bytes));
        self
    }

    /// Sends a request and reads its whole answer within `timeout`.
    ///
    /// After [`MinionError::TimedOut`] or [`MinionError::Failed`] the minion may still be running
    /// the request. Whoever counts its slots should wait longer here than a caller waits there.
    pub async fn send(
        &self,
        method: Method,
        path: &str,
        mut headers: HeaderMap,
        body: Bytes,
        timeout: Duration,
    ) -> Result<Answer, MinionError> {
        strip_hop_by_hop(&mut headers);
        let req = Request::builder().method(method).uri(path).body(Full::new(body));
        let mut req = req.map_err(|e| MinionError::NotSent(e.to_string()))?;
        *req.headers_mut() = headers;
        let exchange = self.client.exchange(req, timeout).await?;
        let mut headers = exchange.headers;
        strip_hop_by_hop(&mut headers);
        Ok(Answer { status: exchange.status, headers, body: exchange.body })
    }
}
