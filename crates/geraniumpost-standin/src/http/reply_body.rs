use std::pin::Pin;
use std::task::{Context, Poll};

use bytes::Bytes;
use hyper::body::{Body, Frame, SizeHint};

use super::Closed;

/// Body of an answer, either whole or cut short on purpose.
#[derive(Debug)]
pub struct ReplyBody {
    data: Option<Bytes>,
    promised: u64,
    cut: bool,
}

impl ReplyBody {
    /// Promises all of `body` by its length but sends only the first half and then closes.
    pub fn cut_short(body: &Bytes) -> Self {
        let half = body.slice(..body.len() / 2);
        Self { data: Some(half), promised: body.len() as u64, cut: true }
    }
}

impl From<Bytes> for ReplyBody {
    fn from(body: Bytes) -> Self {
        let promised = body.len() as u64;
        Self { data: Some(body).filter(|b| !b.is_empty()), promised, cut: false }
    }
}

impl Body for ReplyBody {
    type Data = Bytes;
    type Error = Closed;

    fn poll_frame(
        self: Pin<&mut Self>,
        _cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, Closed>>> {
        let this = self.get_mut();
        match this.data.take() {
            Some(data) => Poll::Ready(Some(Ok(Frame::data(data)))),
            None if this.cut => Poll::Ready(Some(Err(Closed))),
            None => Poll::Ready(None),
        }
    }

    fn is_end_stream(&self) -> bool {
        self.data.is_none() && !self.cut
    }

    fn size_hint(&self) -> SizeHint {
        SizeHint::with_exact(self.promised)
    }
}
