use bytes::BytesMut;
use serde::Serialize;
use serde::de::DeserializeOwned;
use tokio::io::{AsyncWrite, AsyncWriteExt};
use tokio::sync::mpsc;

use crate::{Connection, Frame, FrameReader, NetError, encode_frame};

/// Capacity of the queue of each direction of a link. The queue for sending is full when the peer
/// reads too slowly; [`LinkSender::send`] then fails at once, and its frame is certainly not sent.
const QUEUE_FRAMES: usize = 4096;
/// Length of the encoded frames at which they are written together, although more are queued.
const WRITE_CHUNK_BYTES: usize = 256 * 1024;

/// The sending half of a link. The link is closed when all clones of it are dropped.
#[derive(Debug)]
pub struct LinkSender<O>(mpsc::Sender<Frame<O>>);

impl<O> Clone for LinkSender<O> {
    fn clone(&self) -> Self {
        Self(self.0.clone())
    }
}

impl<O> LinkSender<O> {
    /// Queues a frame for sending.
    ///
    /// # Errors
    ///
    /// Returns the frame if the link is closed or its queue is full; the frame was then certainly
    /// not sent.
    pub fn send(&self, frame: impl Into<Frame<O>>) -> Result<(), Frame<O>> {
        self.0.try_send(frame.into()).map_err(|e| match e {
            mpsc::error::TrySendError::Full(f) | mpsc::error::TrySendError::Closed(f) => f,
        })
    }

    /// Returns whether the link is closed.
    pub fn is_closed(&self) -> bool {
        self.0.is_closed()
    }

    /// Waits until the link is closed.
    pub async fn closed(&self) {
        self.0.closed().await;
    }
}

/// The receiving half of a link.
#[derive(Debug)]
pub struct LinkReceiver<I>(mpsc::Receiver<Frame<I>>);

impl<I> LinkReceiver<I> {
    /// Waits for the next frame; `None` after the connection is closed.
    pub async fn next(&mut self) -> Option<Frame<I>> {
        self.0.recv().await
    }
}

/// Splits a connection into a sending and a receiving half, each served by its own task.
///
/// The reading task ends when the connection is closed or the receiver is dropped; the writing task
/// ends when the connection fails or all senders are dropped. If either fails, it passes the error
/// to `on_error`.
pub fn open_link<O, I>(
    connection: Connection,
    on_error: impl Fn(NetError) + Clone + Send + 'static,
) -> (LinkSender<O>, LinkReceiver<I>)
where
    O: Serialize + Send + Sync + 'static,
    I: DeserializeOwned + Send + 'static,
{
    let (read, write) = connection.stream.into_split();
    let reader = FrameReader::resume(read, connection.read_ahead);
    let (write_tx, write_rx) = mpsc::channel(QUEUE_FRAMES);
    let (read_tx, read_rx) = mpsc::channel(QUEUE_FRAMES);
    let on_write_error = on_error.clone();
    let writing = tokio::spawn(async move {
        if let Err(e) = write_frames(write, write_rx).await {
            on_write_error(e);
        }
    });
    tokio::spawn(async move {
        if let Err(e) = read_frames(reader, read_tx).await {
            on_error(e);
        }
        // Without the reading half no response can arrive. Aborting the writing task closes the
        // queue, so that senders notice at once instead of by a timeout.
        writing.abort();
    });
    (LinkSender(write_tx), LinkReceiver(read_rx))
}

async fn write_frames<O: Serialize>(
    mut write: impl AsyncWrite + Unpin,
    mut rx: mpsc::Receiver<Frame<O>>,
) -> Result<(), NetError> {
    let mut buf = BytesMut::with_capacity(WRITE_CHUNK_BYTES);
    while let Some(frame) = rx.recv().await {
        encode_frame(&frame, &mut buf)?;
        while buf.len() < WRITE_CHUNK_BYTES {
            let Ok(frame) = rx.try_recv() else { break };
            encode_frame(&frame, &mut buf)?;
        }
        write.write_all(&buf).await?;
        buf.clear();
    }
    write.shutdown().await?;
    Ok(())
}

async fn read_frames<I: DeserializeOwned>(
    mut reader: FrameReader<impl tokio::io::AsyncRead + Unpin>,
    tx: mpsc::Sender<Frame<I>>,
) -> Result<(), NetError> {
    loop {
        let next = tokio::select! {
            next = reader.next() => next?,
            () = tx.closed() => return Ok(()),
        };
        let Some(frame) = next else { return Ok(()) };
        if tx.send(frame).await.is_err() {
            return Ok(());
        }
    }
}
