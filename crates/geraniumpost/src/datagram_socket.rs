use std::net::SocketAddr;

use eyre::{Result, WrapErr};
use geraniumpost_net::{MAX_DATAGRAM_BYTES, NetError, SharedKey, open_datagram, seal_datagram};
use geraniumpost_schema::Datagram;
use tokio::net::UdpSocket;

/// A UDP socket that sends and receives sealed datagrams.
#[derive(Debug)]
pub struct DatagramSocket {
    socket: UdpSocket,
    key: SharedKey,
}

impl DatagramSocket {
    /// Binds to `address`.
    ///
    /// # Errors
    ///
    /// Fails if the address cannot be had.
    pub async fn bind(address: SocketAddr, key: SharedKey) -> Result<Self> {
        let socket = UdpSocket::bind(address).await;
        Ok(Self { socket: socket.wrap_err_with(|| format!("UDP on {address}"))?, key })
    }

    /// Sends a datagram; a failure is logged, since datagrams may be lost anyway.
    pub async fn send(&self, datagram: &Datagram, to: SocketAddr) {
        let sealed = match seal_datagram(&self.key, datagram) {
            Ok(sealed) => sealed,
            Err(error) => return spdlog::error!("datagram not sent to {to}: {error}"),
        };
        if let Err(error) = self.socket.send_to(&sealed, to).await {
            spdlog::debug!("datagram not sent to {to}: {error}");
        }
    }

    /// Waits for the next datagram; a stranger's bytes are an `Err` to be counted.
    pub async fn receive(&self) -> (SocketAddr, Result<Datagram, NetError>) {
        let mut buf = [0; MAX_DATAGRAM_BYTES];
        loop {
            // An error here tells of an earlier datagram that nobody received; it is no news.
            if let Ok((len, from)) = self.socket.recv_from(&mut buf).await {
                return (from, open_datagram(&self.key, &buf[..len]));
            }
        }
    }
}
