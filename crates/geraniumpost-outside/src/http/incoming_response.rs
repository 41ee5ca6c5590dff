use std::time::Duration;

use http::header::CONTENT_LENGTH;
use http::{Method, Response, StatusCode};
use hyper::body::Incoming;
use tokio::sync::SemaphorePermit;

use super::connection::Connection;
use super::read_response::read_response;
use super::{Client, FullResponse, SendError};

/// An exchange whose answer has begun to arrive; dropping it closes its connection.
#[derive(Debug)]
pub struct IncomingResponse<'a> {
    pub(super) client: &'a Client,
    pub(super) method: Method,
    pub(super) connection: Connection,
    pub(super) answer: Response<Incoming>,
    pub(super) _turn: SemaphorePermit<'a>,
}

impl IncomingResponse<'_> {
    /// Returns the status of the answer.
    pub fn status(&self) -> StatusCode {
        self.answer.status()
    }

    /// Returns the length of the body in bytes, if the answer states it.
    pub fn content_length(&self) -> Option<usize> {
        let length = self.answer.headers().get(CONTENT_LENGTH)?;
        length.to_str().ok()?.parse().ok()
    }

    /// Reads the rest, however long that takes, unless nothing arrives for `silence`.
    ///
    /// # Errors
    ///
    /// Fails like [`Client::exchange`].
    pub async fn receive(self, silence: Duration) -> Result<FullResponse, SendError> {
        let Self { client, method, mut connection, answer, _turn } = self;
        let whole = read_response(&method, answer, client.most_answer, silence).await?;
        // Reuse follows only on a whole answer; after anything else the connection is closed, lest
        // the rest of one answer be taken for the beginning of another.
        if tokio::time::timeout(silence, connection.ready()).await == Ok(true) {
            client.keep(connection);
        }
        Ok(whole)
    }
}
