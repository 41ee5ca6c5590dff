use std::pin::Pin;
use std::task::{Context, Poll, ready};
use std::time::Duration;

use bytes::Bytes;
use hyper::body::{Body, Frame, SizeHint};
use tokio::time::Sleep;

use super::Closed;

/// Wait between the first half of a cut answer and the close.
///
/// The server writes out what it has while the body waits; without this the answer's head would
/// often be lost too, which is another fault.
const CUT_PAUSE: Duration = Duration::from_millis(20);

/// Body of an answer, either whole or cut short on purpose.
#[derive(Debug)]
pub struct ReplyBody {
    data: Option<Bytes>,
    promised: u64,
    cut: Option<Pin<Box<Sleep>>>,
}

impl ReplyBody {
    /// Promises all of `body` by its length but sends only the first half and then closes.
    pub fn cut_short(body: &Bytes) -> Self {
        let half = body.slice(..body.len() / 2);
        let cut = Some(Box::pin(tokio::time::sleep(CUT_PAUSE)));
        Self { data: Some(half), promised: body.len() as u64, cut }
    }
}

impl From<Bytes> for ReplyBody {
    fn from(body: Bytes) -> Self {
        let promised = body.len() as u64;
        Self { data: Some(body).filter(|b| !b.is_empty()), promised, cut: None }
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
        let Some(pause) = &mut this.cut else { return Poll::Ready(None) };
        ready!(pause.as_mut().poll(cx));
        Poll::Ready(Some(Err(Closed)))
    }

    fn is_end_stream(&self) -> bool {
        self.data.is_none() && self.cut.is_none()
    }

    fn size_hint(&self) -> SizeHint {
        SizeHint::with_exact(self.promised)
    }
}
