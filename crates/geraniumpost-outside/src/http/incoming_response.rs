use std::time::Duration;

use http::header::CONTENT_LENGTH;
use http::{Method, Response, StatusCode};
use hyper::body::Incoming;
use tokio::sync::SemaphorePermit;

use super::connection::Connection;
use super::read_response::read_response;
use super::{Client, FullResponse, SendError};

/// A response whose body is still arriving. Dropping this value closes the connection.
#[derive(Debug)]
pub struct IncomingResponse<'a> {
    pub(super) client: &'a Client,
    pub(super) method: Method,
    pub(super) connection: Connection,
    pub(super) response: Response<Incoming>,
    pub(super) _permit: SemaphorePermit<'a>,
}

impl IncomingResponse<'_> {
    /// Returns the status code.
    pub fn status(&self) -> StatusCode {
        self.response.status()
    }

    /// Returns the value of the `Content-Length` header in bytes, if it is present and valid.
    pub fn content_length(&self) -> Option<usize> {
        let length = self.response.headers().get(CONTENT_LENGTH)?;
        length.to_str().ok()?.parse().ok()
    }

    /// Receives the rest of the body. Only the time without new bytes is limited, not the duration
    /// of the transfer.
    ///
    /// # Errors
    ///
    /// Fails if no bytes arrive for `idle_timeout`, or if the response is truncated or too large.
    pub async fn receive(self, idle_timeout: Duration) -> Result<FullResponse, SendError> {
        let Self { client, method, mut connection, response, _permit } = self;
        let full =
            read_response(&method, response, client.max_response_bytes, idle_timeout).await?;
        // A connection is reused only after a complete response. In all other cases it is closed,
        // since the rest of the response would be read as the start of the next one.
        if tokio::time::timeout(idle_timeout, connection.ready()).await == Ok(true) {
            client.keep_idle(connection);
        }
        Ok(full)
    }
}
