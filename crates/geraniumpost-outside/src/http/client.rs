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

/// Client of one address with a bounded number of connections, reused when idle.
#[derive(Debug)]
pub struct Client {
    address: SocketAddr,
    host: HeaderValue,
    pub(super) most_answer: usize,
    /// One permit per exchange in progress.
    turns: Semaphore,
    /// One permit per open connection, in progress, idle or closing.
    open: Arc<Semaphore>,
    idle: Mutex<Vec<Connection>>,
}

impl Client {
    /// Creates a client with at most `connections` connections and answers of `most_answer` bytes.
    pub fn new(address: SocketAddr, connections: usize, most_answer: usize) -> Self {
        let host = HeaderValue::from_str(&address.to_string());
        Self {
            address,
            host: host.expect("a socket address is a header value"),
            most_answer,
            turns: Semaphore::new(connections),
            open: Arc::new(Semaphore::new(connections)),
            idle: Mutex::default(),
        }
    }

    /// Sends a request and reads the whole answer before the timeout.
    pub async fn exchange(
        &self,
        req: Request<Full<Bytes>>,
        timeout: Duration,
    ) -> Result<FullResponse, SendError> {
        self.send_as(self.host.clone(), req, timeout).await
    }

    /// Like [`Self::exchange`], for a server that tells several hosts at its address apart.
    pub async fn exchange_as(
        &self,
        host: &str,
        req: Request<Full<Bytes>>,
        timeout: Duration,
    ) -> Result<FullResponse, SendError> {
        let host = HeaderValue::from_str(host).map_err(|e| SendError::NotSent(e.to_string()))?;
        self.send_as(host, req, timeout).await
    }

    /// Sends a request, and reads the whole answer unless nothing of it arrives for `silence`.
    pub async fn patient_exchange(
        &self,
        req: Request<Full<Bytes>>,
        silence: Duration,
    ) -> Result<FullResponse, SendError> {
        Box::pin(self.begin(req, silence)).await?.receive(silence).await
    }

    /// Sends a request and waits until its answer begins, for at most `timeout`.
    ///
    /// A long answer takes as long as the link has room for it: a limit on all of it would end each
    /// attempt at the same place, and no attempt would ever succeed.
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
        let ends = Instant::now() + timeout;
        let begun = self.begin_as(host, req, ends).await?;
        let finished = timeout_at(ends, begun.receive(timeout)).await;
        finished.map_err(|_| SendError::TimedOut)?
    }

    async fn begin_as(
        &self,
        host: HeaderValue,
        mut req: Request<Full<Bytes>>,
        ends: Instant,
    ) -> Result<IncomingResponse<'_>, SendError> {
        req.headers_mut().insert(HOST, host);
        let method = req.method().clone();
        let turn = timeout_at(ends, self.turns.acquire()).await;
        let Ok(Ok(turn)) = turn else {
            return Err(SendError::NotSent("all connections are in use".to_owned()));
        };
        let sent = self.send(req, ends).await;
        if matches!(sent, Err(SendError::TimedOut)) {
            self.close_idle();
        }
        let (connection, answer) = sent?;
        Ok(IncomingResponse { client: self, method, connection, answer, _turn: turn })
    }

    /// Sends a request on an idle or a new connection.
    async fn send(
        &self,
        req: Request<Full<Bytes>>,
        ends: Instant,
    ) -> Result<(Connection, Response<Incoming>), SendError> {
        let idle = self.take_idle();
        let opening = async {
            match idle {
                Some(connection) => Ok(connection),
                None => self.open().await,
            }
        };
        let late = |_| SendError::NotSent("timed out while connecting".to_owned());
        let mut connection = timeout_at(ends, opening).await.map_err(late)??;
        let answer = timeout_at(ends, connection.send(req)).await;
        let answer = answer.map_err(|_| SendError::TimedOut)??;
        Ok((connection, answer))
    }

    async fn open(&self) -> Result<Connection, SendError> {
        let permit = Arc::clone(&self.open).acquire_owned().await;
        let permit = permit.map_err(|e| SendError::NotSent(e.to_string()))?;
        Connection::open(self.address, permit).await
    }

    /// Takes the idle connection that was used last; closed ones are dropped on the way.
    fn take_idle(&self) -> Option<Connection> {
        let mut idle = self.lock();
        idle.retain(Connection::is_ready);
        idle.pop()
    }

    /// Keeps a connection for the next exchange.
    pub(super) fn keep(&self, connection: Connection) {
        self.lock().push(connection);
    }

    /// Closes the idle connections, so that the next exchange opens a new one.
    ///
    /// What lies between two ends can lose track of all their connections at once, without a reset;
    /// each would then cost one more call its whole timeout, although a new connection works.
    pub fn close_idle(&self) {
        self.lock().clear();
    }

    fn lock(&self) -> MutexGuard<'_, Vec<Connection>> {
        self.idle.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
