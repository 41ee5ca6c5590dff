use std::time::Instant;

use bytes::Bytes;
use eyre::Result;
use http_body_util::{BodyExt, Full};
use hyper::client::conn::http1::{self, SendRequest};
use hyper_util::rt::TokioIo;
use tokio::net::TcpStream;
use tokio::task::AbortHandle;
use tokio::time::timeout;

use crate::caller::{PATIENCE, code_of, word_of};
use crate::check::{Told, Word};
use crate::{Caller, Send};

/// A caller that sends one request after the other on one connection, as a balancer does.
#[derive(Debug)]
pub struct KeptCaller {
    caller: Caller,
    sender: SendRequest<Full<Bytes>>,
    driver: AbortHandle,
}

impl KeptCaller {
    /// Opens the connection.
    pub(crate) async fn open(caller: Caller) -> Result<Self> {
        let stream = TcpStream::connect(caller.entry()).await?;
        stream.set_nodelay(true)?;
        let (sender, connection) = http1::handshake(TokioIo::new(stream)).await?;
        let driver = tokio::spawn(connection).abort_handle();
        Ok(Self { caller, sender, driver })
    }

    /// Tells whether the entry still keeps the connection, as far as can be known before sending.
    pub async fn is_open(&mut self) -> bool {
        self.sender.ready().await.is_ok()
    }

    /// Sends a request and waits for the last word about it.
    pub async fn send(&mut self, send: &Send) -> Told {
        let start = Instant::now();
        let word = timeout(send.timeout + PATIENCE, self.exchange(send)).await;
        let (word, code) = word.unwrap_or(Ok((Word::Nothing, 0))).unwrap_or((Word::Nothing, 0));
        send.told(word, code, start.elapsed())
    }

    async fn exchange(&mut self, send: &Send) -> Result<(Word, u16)> {
        let answer = self.sender.send_request(self.caller.request(send)?).await?;
        let (code, status) = (code_of(&answer), answer.status());
        let body = answer.into_body().collect().await?.to_bytes();
        Ok((word_of(code, status, body)?, code))
    }
}

impl Drop for KeptCaller {
    fn drop(&mut self) {
        self.driver.abort();
    }
}
