use bytes::{Buf, BufMut, Bytes, BytesMut};
use serde::Serialize;
use serde::de::DeserializeOwned;
use tokio::io::{AsyncRead, AsyncReadExt};

use crate::NetError;

/// Largest head of a frame in bytes.
pub const MAX_HEAD_BYTES: usize = 256 * 1024;
/// Largest body of a frame in bytes: the largest `max_body_kb` a service may set.
pub const MAX_BODY_BYTES: usize = 64 * 1024 * 1024;

/// Bytes of the two length fields in front of each frame.
const PREFIX: usize = 8;
/// Bytes read from the connection at once.
const READ_CHUNK: usize = 64 * 1024;

/// A typed head with the bytes that follow it.
#[derive(Debug, Clone, PartialEq)]
pub struct Frame<T> {
    /// The message.
    pub head: T,
    /// The body, checked to be as long as the sender said.
    pub body: Bytes,
}

impl<T> From<T> for Frame<T> {
    fn from(head: T) -> Self {
        Self { head, body: Bytes::new() }
    }
}

/// Appends one frame to `buf`: length of the head, length of the body, head, body.
///
/// # Errors
///
/// Fails without touching `buf` if the head or body is larger than a receiver would accept.
pub fn encode_frame<T: Serialize>(frame: &Frame<T>, buf: &mut BytesMut) -> Result<(), NetError> {
    let head = postcard::to_stdvec(&frame.head)?;
    check_lengths(head.len(), frame.body.len())?;
    buf.reserve(PREFIX + head.len() + frame.body.len());
    buf.put_u32_le(head.len() as u32);
    buf.put_u32_le(frame.body.len() as u32);
    buf.put_slice(&head);
    buf.put_slice(&frame.body);
    Ok(())
}

/// Reads frames from a connection.
#[derive(Debug)]
pub struct FrameReader<R> {
    from: R,
    buf: BytesMut,
    largest: usize,
}

impl<R: AsyncRead + Unpin> FrameReader<R> {
    /// Reads frames from `from`.
    pub fn new(from: R) -> Self {
        Self {
            from,
            buf: BytesMut::with_capacity(READ_CHUNK),
            largest: MAX_HEAD_BYTES + MAX_BODY_BYTES,
        }
    }

    /// Refuses frames of more than `largest` bytes, for sides that are not proved yet.
    #[must_use]
    pub const fn largest(mut self, largest: usize) -> Self {
        self.largest = largest;
        self
    }

    /// Reads the next frame, or `None` if the connection ended between two frames.
    ///
    /// # Errors
    ///
    /// Fails if the connection ends inside a frame, or if the bytes are no frame.
    pub async fn next<T: DeserializeOwned>(&mut self) -> Result<Option<Frame<T>>, NetError> {
        loop {
            if let Some(frame) = self.take()? {
                return Ok(Some(frame));
            }
            self.buf.reserve(READ_CHUNK);
            if self.from.read_buf(&mut self.buf).await? > 0 {
                continue;
            }
            if self.buf.is_empty() {
                return Ok(None);
            }
            return Err(NetError::Io(std::io::ErrorKind::UnexpectedEof.into()));
        }
    }

    /// Continues to read where another reader stopped, with what that one had read ahead.
    pub(crate) fn resume(from: R, buf: BytesMut) -> Self {
        Self { buf, ..Self::new(from) }
    }

    /// Gives the connection back with the bytes read ahead of the last frame.
    pub(crate) fn into_parts(self) -> (R, BytesMut) {
        (self.from, self.buf)
    }

    /// Gives access to the connection for the handshake's answers.
    pub(crate) const fn inner_mut(&mut self) -> &mut R {
        &mut self.from
    }

    /// Takes one whole frame out of the buffer.
    fn take<T: DeserializeOwned>(&mut self) -> Result<Option<Frame<T>>, NetError> {
        if self.buf.len() < PREFIX {
            return Ok(None);
        }
        let mut prefix = &self.buf[..PREFIX];
        let head_len = prefix.get_u32_le() as usize;
        let body_len = prefix.get_u32_le() as usize;
        check_lengths(head_len, body_len)?;
        if head_len + body_len > self.largest {
            return Err(NetError::TooLarge(head_len + body_len));
        }
        if self.buf.len() < PREFIX + head_len + body_len {
            return Ok(None);
        }
        self.buf.advance(PREFIX);
        let head = postcard::from_bytes(&self.buf.split_to(head_len))?;
        Ok(Some(Frame { head, body: self.buf.split_to(body_len).freeze() }))
    }
}

/// Refuses lengths that would let one frame exhaust the receiver's memory.
fn check_lengths(head: usize, body: usize) -> Result<(), NetError> {
    if head > MAX_HEAD_BYTES || body > MAX_BODY_BYTES {
        return Err(NetError::TooLarge(head.saturating_add(body)));
    }
    Ok(())
}
