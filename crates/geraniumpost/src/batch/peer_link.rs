//! Links of agents and entries to entries.

use std::net::SocketAddr;
use std::time::Duration;

use eyre::{Result, WrapErr};
use geraniumpost_net::{Connection, FrameReader, LinkReceiver, LinkSender, open_link};
use serde::Serialize;
use serde::de::DeserializeOwned;
use tokio::net::TcpStream;
use tokio::time::timeout;

/// Timeout of establishing a connection between two VMs. A round trip takes about 1 ms, and a small
/// VM may be busy for some tens of milliseconds.
pub const CONNECT_TIMEOUT: Duration = Duration::from_millis(400);

/// Connects to another process and opens a link.
///
/// # Errors
///
/// Fails if nothing accepts the connection within [`CONNECT_TIMEOUT`].
pub async fn dial<O, I>(address: SocketAddr) -> Result<(LinkSender<O>, LinkReceiver<I>)>
where
    O: Serialize + Send + Sync + 'static,
    I: DeserializeOwned + Send + 'static,
{
    let stream = timeout(CONNECT_TIMEOUT, TcpStream::connect(address)).await;
    Ok(open(stream.wrap_err("connect timed out")??)?)
}

/// Opens a link over an accepted or established connection.
///
/// # Errors
///
/// Fails if the connection is already closed.
pub fn open<O, I>(stream: TcpStream) -> std::io::Result<(LinkSender<O>, LinkReceiver<I>)>
where
    O: Serialize + Send + Sync + 'static,
    I: DeserializeOwned + Send + 'static,
{
    stream.set_nodelay(true)?;
    let connection = Connection::from(FrameReader::new(stream));
    Ok(open_link(connection, |error| spdlog::debug!("event=link_ended why=\"{error}\"")))
}
