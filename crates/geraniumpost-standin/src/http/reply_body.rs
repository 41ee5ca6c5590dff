use std::pin::Pin;
use std::task::{Context, Poll, ready};
use std::time::Duration;

use bytes::Bytes;
use hyper::body::{Body, Frame, SizeHint};
use tokio::time::Sleep;

use super::Closed;

/// Delay between sending the first half of a truncated response and closing the connection.
///
/// The server flushes its buffer during the delay. Without it the head of the response would often
/// be lost as well, which is a different fault.
const CLOSE_DELAY: Duration = Duration::from_millis(20);

/// Body of a response, either complete or deliberately truncated.
#[derive(Debug)]
pub struct ReplyBody {
    data: Option<Bytes>,
    declared_len: u64,
    close_delay: Option<Pin<Box<Sleep>>>,
}

impl ReplyBody {
    /// Declares the length of the whole `body`, but sends only the first half and then closes.
    pub fn truncated(body: &Bytes) -> Self {
        let half = body.slice(..body.len() / 2);
        let close_delay = Some(Box::pin(tokio::time::sleep(CLOSE_DELAY)));
        Self { data: Some(half), declared_len: body.len() as u64, close_delay }
    }
}

impl From<Bytes> for ReplyBody {
    fn from(body: Bytes) -> Self {
        let declared_len = body.len() as u64;
        Self { data: Some(body).filter(|b| !b.is_empty()), declared_len, close_delay: None }
    }
}

impl Body for ReplyBody {
    type Data = Bytes;
    type Error = Closed;

    fn poll_frame(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, Closed>>> {
        let this = self.get_mut();
        if let Some(data) = this.data.take() {
            return Poll::Ready(Some(Ok(Frame::data(data))));
        }
        let Some(delay) = &mut this.close_delay else { return Poll::Ready(None) };
        ready!(delay.as_mut().poll(cx));
        Poll::Ready(Some(Err(Closed)))
    }

    fn is_end_stream(&self) -> bool {
        self.data.is_none() && self.close_delay.is_none()
    }

    fn size_hint(&self) -> SizeHint {
        SizeHint::with_exact(self.declared_len)
    }
}
