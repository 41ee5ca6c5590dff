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

/// An open connection; dropping this value closes it.
///
/// The task that drives the connection owns its permit and releases it only after the socket is
/// closed. If it were released earlier, a new connection could open while this one is closing, and
/// the server would briefly see more connections than it accepts.
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
            // The caller that waits for the response receives the error as well.
            let _ = connection.await;
            drop(permit);
        });
        Ok(Self { sender, driver: driver.abort_handle() })
    }

    /// Returns whether the connection can take a request now.
    pub(super) fn is_ready(&self) -> bool {
        self.sender.is_ready()
    }

    /// Waits until the connection can take a request; returns `false` if it is closed instead.
    pub(super) async fn ready(&mut self) -> bool {
        self.sender.ready().await.is_ok()
    }

    /// Sends a request and waits for the head of the response.
    ///
    /// `hyper` returns the request with the error only if it has written no byte of it, which
    /// justifies [`SendError::NotSent`].
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
