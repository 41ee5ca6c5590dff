use std::convert::Infallible;
use std::pin::pin;
use std::sync::Arc;
use std::time::Duration;

use hyper_util::server::graceful::GracefulConnection;
use tokio::sync::{Notify, mpsc, watch};
use tokio::time::timeout;

/// How long a connection without any request yet is kept at a planned stop.
const FIRST_REQUEST: Duration = Duration::from_secs(1);

/// The open connections of callers, which end one by one at a planned stop.
///
/// The server's own graceful shutdown closes a connection of which it has read nothing yet, even
/// when a request is on its way. A caller who has just connected then sees its connection close
/// without a word. So a new connection is let alone until its first request has been read.
#[derive(Debug)]
pub(super) struct OpenConnections {
    leaving: watch::Sender<bool>,
    /// Every connection holds a sender; the channel closes with the last of them.
    open: mpsc::Sender<Infallible>,
    ended: mpsc::Receiver<Infallible>,
}

/// One connection of a caller.
#[derive(Debug)]
pub(super) struct OpenConnection {
    leaving: watch::Receiver<bool>,
    asked: Arc<Notify>,
    _open: mpsc::Sender<Infallible>,
}

impl OpenConnections {
    /// Begins without connections.
    pub(super) fn new() -> Self {
        let (open, ended) = mpsc::channel(1);
        Self { leaving: watch::Sender::new(false), open, ended }
    }

    /// Takes in a connection.
    pub(super) fn begin(&self) -> OpenConnection {
        let (leaving, open) = (self.leaving.subscribe(), self.open.clone());
        OpenConnection { leaving, asked: Arc::default(), _open: open }
    }

    /// Asks all connections to end after their requests and waits until the last one has.
    pub(super) async fn finish(self) {
        let Self { leaving, open, mut ended } = self;
        leaving.send_replace(true);
        drop(open);
        ended.recv().await;
    }
}

impl OpenConnection {
    /// Returns what is to be notified of each request.
    pub(super) fn asked(&self) -> Arc<Notify> {
        Arc::clone(&self.asked)
    }

    /// Serves the connection to its end, at a planned stop to that of the request under way.
    pub(super) async fn hold<C: GracefulConnection>(mut self, connection: C) -> C::Output {
        let mut connection = pin!(connection);
        tokio::select! {
            ended = connection.as_mut() => return ended,
            () = self.may_end() => {}
        }
        connection.as_mut().graceful_shutdown();
        connection.await
    }

    async fn may_end(&mut self) {
        // An error means that the entry has stopped already.
        let _ = self.leaving.wait_for(|leaving| *leaving).await;
        let _ = timeout(FIRST_REQUEST, self.asked.notified()).await;
    }
}
