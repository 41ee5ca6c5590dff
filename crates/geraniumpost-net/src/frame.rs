use bytes::{Buf, BufMut, Bytes, BytesMut};
use serde::Serialize;
use serde::de::DeserializeOwned;
use tokio::io::{AsyncRead, AsyncReadExt};

use crate::NetError;

/// Largest encoded head of a frame, in bytes.
pub const MAX_HEAD_BYTES: usize = 256 * 1024;
/// Largest body of a frame, in bytes: the upper limit of `max_body_kb` of a service.
pub const MAX_BODY_BYTES: usize = 64 * 1024 * 1024;

/// Bytes of the two length fields in front of each frame.
const PREFIX_BYTES: usize = 8;
/// Buffer space reserved for each read from the connection.
const READ_CHUNK_BYTES: usize = 64 * 1024;

/// A typed message head and the body that follows it.
#[derive(Debug, Clone, PartialEq)]
pub struct Frame<T> {
    /// Message.
    pub head: T,
    /// Body, of the length that the frame's prefix states.
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
/// Fails and leaves `buf` unchanged if the head or body exceeds the limit of the receiver.
pub fn encode_frame<T: Serialize>(frame: &Frame<T>, buf: &mut BytesMut) -> Result<(), NetError> {
    let head = postcard::to_stdvec(&frame.head)?;
    check_lengths(head.len(), frame.body.len())?;
    buf.reserve(PREFIX_BYTES + head.len() + frame.body.len());
    buf.put_u32_le(head.len() as u32);
    buf.put_u32_le(frame.body.len() as u32);
    buf.put_slice(&head);
    buf.put_slice(&frame.body);
    Ok(())
}

/// Reads frames from a connection.
#[derive(Debug)]
pub struct FrameReader<R> {
    stream: R,
    buf: BytesMut,
    max_frame_bytes: usize,
}

impl<R: AsyncRead + Unpin> FrameReader<R> {
    /// Creates a reader of the frames of `stream`.
    pub fn new(stream: R) -> Self {
        Self {
            stream,
            buf: BytesMut::with_capacity(READ_CHUNK_BYTES),
            max_frame_bytes: MAX_HEAD_BYTES + MAX_BODY_BYTES,
        }
    }

    /// Lowers the limit on frames, as is needed for a peer that is not authenticated yet.
    #[must_use]
    pub const fn max_frame_bytes(mut self, bytes: usize) -> Self {
        self.max_frame_bytes = bytes;
        self
    }

    /// Reads the next frame, or returns `None` if the connection was closed between two frames.
    ///
    /// # Errors
    ///
    /// Fails if the connection is closed within a frame, or if a frame is too large or malformed.
    pub async fn next<T: DeserializeOwned>(&mut self) -> Result<Option<Frame<T>>, NetError> {
        loop {
            if let Some(frame) = self.decode_next()? {
                return Ok(Some(frame));
            }
            self.buf.reserve(READ_CHUNK_BYTES);
            if self.stream.read_buf(&mut self.buf).await? > 0 {
                continue;
            }
            if self.buf.is_empty() {
                return Ok(None);
            }
            return Err(NetError::Io(std::io::ErrorKind::UnexpectedEof.into()));
        }
    }

    /// Creates a reader that continues after another one; `buf` holds what that one read ahead.
    pub(crate) fn resume(stream: R, buf: BytesMut) -> Self {
        Self { buf, ..Self::new(stream) }
    }

    /// Returns the connection and the bytes that were read beyond the last frame.
    pub(crate) fn into_parts(self) -> (R, BytesMut) {
        (self.stream, self.buf)
    }

    /// Returns the connection, to which the handshake writes its frames.
    pub(crate) const fn inner_mut(&mut self) -> &mut R {
        &mut self.stream
    }

    /// Removes the next frame from the buffer and decodes it; `None` while it is incomplete.
    fn decode_next<T: DeserializeOwned>(&mut self) -> Result<Option<Frame<T>>, NetError> {
        if self.buf.len() < PREFIX_BYTES {
            return Ok(None);
        }
        let mut prefix = &self.buf[..PREFIX_BYTES];
        let head_len = prefix.get_u32_le() as usize;
        let body_len = prefix.get_u32_le() as usize;
        check_lengths(head_len, body_len)?;
        if head_len + body_len > self.max_frame_bytes {
            return Err(NetError::TooLarge(head_len + body_len));
        }
        if self.buf.len() < PREFIX_BYTES + head_len + body_len {
            return Ok(None);
        }
        self.buf.advance(PREFIX_BYTES);
        let head = postcard::from_bytes(&self.buf.split_to(head_len))?;
        Ok(Some(Frame { head, body: self.buf.split_to(body_len).freeze() }))
    }
}

/// Rejects lengths with which one frame could exhaust the receiver's memory.
fn check_lengths(head: usize, body: usize) -> Result<(), NetError> {
    if head > MAX_HEAD_BYTES || body > MAX_BODY_BYTES {
        return Err(NetError::TooLarge(head.saturating_add(body)));
    }
    Ok(())
}
