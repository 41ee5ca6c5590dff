use std::net::SocketAddr;

use bytes::Bytes;
use http::{Request, Response};
use http_body_util::Full;
use hyper::body::Incoming;
use hyper::client::conn::http1::{self, SendRequest};
use hyper_util::rt::TokioIo;
use tokio::net::TcpStream;
use tokio::sync::OwnedSemaphorePermit;
use tokio::task::AbortHandle;

use super::SendError;

/// One open connection; dropping it closes it.
///
/// The permit lives in the connection's own task and is given back only once the socket is closed.
/// A permit that came back earlier would let a new connection open beside the closing one, and the
/// other end would for a moment see more connections than it accepts.
#[derive(Debug)]
pub(super) struct Connection {
    sender: SendRequest<Full<Bytes>>,
    driver: AbortHandle,
}

impl Connection {
    pub(super) async fn open(
        address: SocketAddr,
        permit: OwnedSemaphorePermit,
    ) -> Result<Self, SendError> {
        let stream = TcpStream::connect(address).await.map_err(not_sent)?;
        stream.set_nodelay(true).map_err(not_sent)?;
        let handshake = http1::handshake(TokioIo::new(stream)).await;
        let (sender, connection) = handshake.map_err(not_sent)?;
        let driver = tokio::spawn(async move {
            // The error also reaches whoever waits for the answer.
            let _ = connection.await;
            drop(permit);
        });
        Ok(Self { sender, driver: driver.abort_handle() })
    }

    /// Tells whether the connection can take a request now.
    pub(super) fn is_ready(&self) -> bool {
        self.sender.is_ready()
    }

    /// Waits until the connection can take a request; `false` if it closes instead.
    pub(super) async fn ready(&mut self) -> bool {
        self.sender.ready().await.is_ok()
    }

    /// Sends a request and waits for the answer's head.
    ///
    /// The client hands the request back only if it never began to write it, which is the proof
    /// behind [`SendError::NotSent`].
    pub(super) async fn send(
        &mut self,
        req: Request<Full<Bytes>>,
    ) -> Result<Response<Incoming>, SendError> {
        self.sender.try_send_request(req).await.map_err(|mut e| {
            let unsent = e.take_message().is_some();
            let reason = e.into_error().to_string();
            if unsent { SendError::NotSent(reason) } else { SendError::Failed(reason) }
        })
    }
}

impl Drop for Connection {
    fn drop(&mut self) {
        self.driver.abort();
    }
}

fn not_sent(e: impl std::fmt::Display) -> SendError {
    SendError::NotSent(e.to_string())
}
