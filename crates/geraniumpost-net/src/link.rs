use bytes::BytesMut;
use serde::Serialize;
use serde::de::DeserializeOwned;
use tokio::io::{AsyncWrite, AsyncWriteExt};
use tokio::sync::mpsc;

use crate::{Connection, Frame, FrameReader, NetError, encode_frame};

/// Frames that may wait in each direction of a link. A full queue means that the other side does
/// not read; the sender then learns at once that its frame was never sent.
const QUEUE: usize = 4096;
/// Bytes gathered into one write.
const WRITE_CHUNK: usize = 256 * 1024;

/// The sending half of a link; the link closes when all its clones are dropped.
#[derive(Debug)]
pub struct LinkSender<O>(mpsc::Sender<Frame<O>>);

impl<O> Clone for LinkSender<O> {
    fn clone(&self) -> Self {
        Self(self.0.clone())
    }
}

impl<O> LinkSender<O> {
    /// Queues a frame, or gives it back if the link has ended or does not keep up; a frame given
    /// back was certainly not sent.
    ///
    /// # Errors
    ///
    /// Returns the frame if it was not queued.
    pub fn send(&self, frame: impl Into<Frame<O>>) -> Result<(), Frame<O>> {
        self.0.try_send(frame.into()).map_err(|e| match e {
            mpsc::error::TrySendError::Full(f) | mpsc::error::TrySendError::Closed(f) => f,
        })
    }

    /// Returns whether the link has ended.
    pub fn is_closed(&self) -> bool {
        self.0.is_closed()
    }

    /// Waits until the link has ended.
    pub async fn closed(&self) {
        self.0.closed().await;
    }
}

/// The receiving half of a link; it ends with `None` when the connection does.
#[derive(Debug)]
pub struct LinkReceiver<I>(mpsc::Receiver<Frame<I>>);

impl<I> LinkReceiver<I> {
    /// Waits for the next frame.
    pub async fn next(&mut self) -> Option<Frame<I>> {
        self.0.recv().await
    }
}

/// Turns a connection after its handshake into two halves, each served by a task of its own.
///
/// The reading task ends when the connection or the receiver does, the writing task when the
/// connection fails or all senders are dropped; `on_error` learns why a connection was cut.
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
    let (out_tx, out_rx) = mpsc::channel(QUEUE);
    let (in_tx, in_rx) = mpsc::channel(QUEUE);
    let on_write_error = on_error.clone();
    let writing = tokio::spawn(async move {
        if let Err(e) = write_frames(write, out_rx).await {
            on_write_error(e);
        }
    });
    tokio::spawn(async move {
        if let Err(e) = read_frames(reader, in_tx).await {
            on_error(e);
        }
        // A connection whose reading half is over is of no use: ending the writer tells the
        // senders at once, instead of at their next time-out.
        writing.abort();
    });
    (LinkSender(out_tx), LinkReceiver(in_rx))
}

async fn write_frames<O: Serialize>(
    mut write: impl AsyncWrite + Unpin,
    mut rx: mpsc::Receiver<Frame<O>>,
) -> Result<(), NetError> {
    let mut buf = BytesMut::with_capacity(WRITE_CHUNK);
    while let Some(frame) = rx.recv().await {
        encode_frame(&frame, &mut buf)?;
        while buf.len() < WRITE_CHUNK {
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
