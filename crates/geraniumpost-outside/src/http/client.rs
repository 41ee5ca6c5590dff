use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use bytes::Bytes;
use http::header::HOST;
use http::{HeaderValue, Request, Response};
use http_body_util::Full;
use hyper::body::Incoming;
use tokio::sync::Semaphore;
use tokio::time::{Instant, timeout_at};

use super::connection::Connection;
use super::{FullResponse, IncomingResponse, SendError};

/// HTTP/1.1 client of one address. It limits its connections and reuses idle ones.
#[derive(Debug)]
pub struct Client {
    address: SocketAddr,
    host: HeaderValue,
    pub(super) max_response_bytes: usize,
    /// Permits for exchanges in progress.
    exchange_permits: Semaphore,
    /// Permits for open connections, whether they are in use, idle or closing.
    connection_permits: Arc<Semaphore>,
    idle: Mutex<Vec<Connection>>,
}

impl Client {
    /// Creates a client with at most `connections` connections that rejects response bodies of more
    /// than `max_response_bytes`.
    pub fn new(address: SocketAddr, connections: usize, max_response_bytes: usize) -> Self {
        let host = HeaderValue::from_str(&address.to_string());
        Self {
            address,
            host: host.expect("a socket address is a header value"),
            max_response_bytes,
            exchange_permits: Semaphore::new(connections),
            connection_permits: Arc::new(Semaphore::new(connections)),
            idle: Mutex::default(),
        }
    }

    /// Sends a request and receives the complete response within `timeout`.
    pub async fn exchange(
        &self,
        req: Request<Full<Bytes>>,
        timeout: Duration,
    ) -> Result<FullResponse, SendError> {
        self.send_as(self.host.clone(), req, timeout).await
    }

    /// Like [`Self::exchange`], with a `Host` header other than the address, for servers with
    /// several virtual hosts.
    pub async fn exchange_as(
        &self,
        host: &str,
        req: Request<Full<Bytes>>,
        timeout: Duration,
    ) -> Result<FullResponse, SendError> {
        let host = HeaderValue::from_str(host).map_err(|e| SendError::NotSent(e.to_string()))?;
        self.send_as(host, req, timeout).await
    }

    /// Sends a request and receives the complete response. Instead of the duration of the transfer,
    /// the time without new bytes is limited.
    pub async fn exchange_with_idle_timeout(
        &self,
        req: Request<Full<Bytes>>,
        idle_timeout: Duration,
    ) -> Result<FullResponse, SendError> {
        Box::pin(self.begin(req, idle_timeout)).await?.receive(idle_timeout).await
    }

    /// Sends a request and waits for at most `timeout` until the response begins.
    ///
    /// The transfer of the body is not limited in time. A long response on a slow link would
    /// otherwise time out at the same point in every attempt, and no attempt would succeed.
    pub async fn begin(
        &self,
        req: Request<Full<Bytes>>,
        timeout: Duration,
    ) -> Result<IncomingResponse<'_>, SendError> {
        self.begin_as(self.host.clone(), req, Instant::now() + timeout).await
    }

    async fn send_as(
        &self,
        host: HeaderValue,
        req: Request<Full<Bytes>>,
        timeout: Duration,
    ) -> Result<FullResponse, SendError> {
        let deadline = Instant::now() + timeout;
        let response = self.begin_as(host, req, deadline).await?;
        let finished = timeout_at(deadline, response.receive(timeout)).await;
        finished.map_err(|_| SendError::TimedOut)?
    }

    async fn begin_as(
        &self,
        host: HeaderValue,
        mut req: Request<Full<Bytes>>,
        deadline: Instant,
    ) -> Result<IncomingResponse<'_>, SendError> {
        req.headers_mut().insert(HOST, host);
        let method = req.method().clone();
        let permit = timeout_at(deadline, self.exchange_permits.acquire()).await;
        let Ok(Ok(permit)) = permit else {
            return Err(SendError::NotSent("all connections are in use".to_owned()));
        };
        let sent = self.send(req, deadline).await;
        if matches!(sent, Err(SendError::TimedOut)) {
            self.close_idle();
        }
        let (connection, response) = sent?;
        Ok(IncomingResponse { client: self, method, connection, response, _permit: permit })
    }

    /// Sends a request over an idle connection, or over a new one.
    async fn send(
        &self,
        req: Request<Full<Bytes>>,
        deadline: Instant,
    ) -> Result<(Connection, Response<Incoming>), SendError> {
        let idle = self.take_idle();
        let opening = async {
            match idle {
                Some(connection) => Ok(connection),
                None => self.open().await,
            }
        };
        let timed_out = |_| SendError::NotSent("timed out while connecting".to_owned());
        let mut connection = timeout_at(deadline, opening).await.map_err(timed_out)??;
        let response = timeout_at(deadline, connection.send(req)).await;
        let response = response.map_err(|_| SendError::TimedOut)??;
        Ok((connection, response))
    }

    async fn open(&self) -> Result<Connection, SendError> {
        let permit = Arc::clone(&self.connection_permits).acquire_owned().await;
        let permit = permit.map_err(|e| SendError::NotSent(e.to_string()))?;
        Connection::open(self.address, permit).await
    }

    /// Takes the most recently used idle connection, and discards closed ones.
    fn take_idle(&self) -> Option<Connection> {
        let mut idle = self.lock();
        idle.retain(Connection::is_ready);
        idle.pop()
    }

    /// Keeps an idle connection for a later exchange.
    pub(super) fn keep_idle(&self, connection: Connection) {
        self.lock().push(connection);
    }

    /// Closes the idle connections, so that the next exchange opens a new one.
    ///
    /// A middlebox can lose the state of all connections at once without resetting them. Each idle
    /// connection would then cost one more call its timeout, although a new connection works.
    pub fn close_idle(&self) {
        self.lock().clear();
    }

    fn lock(&self) -> MutexGuard<'_, Vec<Connection>> {
        self.idle.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
