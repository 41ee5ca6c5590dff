use std::pin::pin;
use std::sync::Arc;
use std::time::Duration;

use hyper_util::server::graceful::GracefulConnection;
use tokio::sync::{Notify, watch};
use tokio::time::{sleep, timeout};

use crate::in_flight::{InFlight, InFlightGuard};

/// Pause before a connection without a request in flight is closed. It makes the runtime look for
/// requests that have arrived and are not read yet.
const CLOSING_PAUSE: Duration = Duration::from_millis(10);

/// The open connections of a server, which end one by one at a planned stop.
///
/// The graceful shutdown of `hyper` closes a connection of which it has read nothing yet, even when
/// a request is on its way. A caller who has just connected then sees its connection close without
/// a response. So a new connection is kept until its first request has been read, or for
/// `first_request_timeout`.
#[derive(Debug)]
pub struct OpenConnections {
    closing: watch::Sender<bool>,
    open: InFlight,
    first_request_timeout: Duration,
}

/// An open connection.
#[derive(Debug)]
pub struct OpenConnection {
    closing: watch::Receiver<bool>,
    requested: Arc<Notify>,
    first_request_timeout: Duration,
    _open: InFlightGuard,
}

impl OpenConnections {
    /// Creates the state of a server without open connections.
    pub fn new(first_request_timeout: Duration) -> Self {
        let closing = watch::Sender::new(false);
        Self { closing, open: InFlight::default(), first_request_timeout }
    }

    /// Adds a connection.
    #[must_use]
    pub fn begin(&self) -> OpenConnection {
        OpenConnection {
            closing: self.closing.subscribe(),
            requested: Arc::default(),
            first_request_timeout: self.first_request_timeout,
            _open: self.open.begin(),
        }
    }

    /// Returns the number of open connections.
    pub fn count(&self) -> usize {
        self.open.count()
    }

    /// Asks all connections to end after their requests in flight, and waits until all have ended.
    pub async fn finish(&self) {
        self.closing.send_replace(true);
        self.open.ended().await;
    }
}

impl OpenConnection {
    /// Returns the handle that must be notified of each request.
    pub fn requested(&self) -> Arc<Notify> {
        Arc::clone(&self.requested)
    }

    /// Serves the connection until it ends, or at a planned stop until its request in flight has
    /// ended.
    pub async fn serve<C: GracefulConnection>(mut self, connection: C) -> C::Output {
        let mut connection = pin!(connection);
        tokio::select! {
            // Requests that have arrived are read before the connection may end.
            biased;
            ended = connection.as_mut() => return ended,
            () = self.may_end() => {}
        }
        connection.as_mut().graceful_shutdown();
        connection.await
    }

    async fn may_end(&mut self) {
        // An error means that the server no longer exists.
        let _ = self.closing.wait_for(|closing| *closing).await;
        sleep(CLOSING_PAUSE).await;
        let _ = timeout(self.first_request_timeout, self.requested.notified()).await;
    }
}
