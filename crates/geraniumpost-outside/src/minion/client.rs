use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use http::{HeaderMap, Method, Request};
use http_body_util::Full;

use super::{Answer, MinionError, strip_hop_by_hop};
use crate::http::Client;

/// Limit on response bodies, unless [`Minion::max_response_bytes`] sets another.
const MAX_RESPONSE_BYTES: usize = 64 << 20;

/// Client of one minion with a limited number of connections, cheap to clone.
#[derive(Debug, Clone)]
pub struct Minion {
    address: SocketAddr,
    connections: usize,
    client: Arc<Client>,
}

impl Minion {
    /// Creates a client of the minion at `address` with at most `connections` connections.
    pub fn new(address: SocketAddr, connections: usize) -> Self {
        let client = Arc::new(Client::new(address, connections, MAX_RESPONSE_BYTES));
        Self { address, connections, client }
    }

    /// Sets the limit on response bodies, in bytes. Must be called before the client is cloned or
    /// used, since it replaces the connections.
    #[must_use]
    pub fn max_response_bytes(mut self, bytes: usize) -> Self {
        self.client = Arc::new(Client::new(self.address, self.connections, bytes));
        self
    }

    /// Sends a request and receives the complete response within `timeout`.
    ///
    /// After [`MinionError::TimedOut`] or [`MinionError::Failed`] the minion may still be running
    /// the request. A caller that counts the slots of the minion should therefore pass a `timeout`
    /// longer than the deadline of the request.
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
        let response = self.client.exchange(req, timeout).await?;
        let mut headers = response.headers;
        strip_hop_by_hop(&mut headers);
        Ok(Answer { status: response.status, headers, body: response.body })
    }
}
