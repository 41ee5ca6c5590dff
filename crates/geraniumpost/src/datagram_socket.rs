use std::net::SocketAddr;

use eyre::{Result, WrapErr};
use geraniumpost_net::{MAX_DATAGRAM_BYTES, NetError, SharedKey, open_datagram, seal_datagram};
use geraniumpost_schema::Datagram;
use tokio::net::UdpSocket;

/// UDP socket that seals each datagram it sends with the shared key, and opens each it receives.
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
    /// Fails if the address cannot be bound.
    pub async fn bind(address: SocketAddr, key: SharedKey) -> Result<Self> {
        let socket = UdpSocket::bind(address).await;
        Ok(Self { socket: socket.wrap_err_with(|| format!("cannot bind UDP {address}"))?, key })
    }

    /// Sends a datagram. Only logs a failure, because datagrams may be lost anyway.
    pub async fn send(&self, datagram: &Datagram, to: SocketAddr) {
        let sealed = match seal_datagram(&self.key, datagram) {
            Ok(sealed) => sealed,
            Err(error) => return spdlog::error!("cannot encode datagram to {to}: {error}"),
        };
        if let Err(error) = self.socket.send_to(&sealed, to).await {
            spdlog::debug!("cannot send datagram to {to}: {error}");
        }
    }

    /// Receives the next datagram and its sender's address. A datagram that cannot be opened with
    /// the shared key is an `Err`, so that the caller can count it.
    pub async fn receive(&self) -> (SocketAddr, Result<Datagram, NetError>) {
        let mut buf = [0; MAX_DATAGRAM_BYTES];
        loop {
            // An error reports that an earlier datagram was not delivered, which is harmless.
            if let Ok((len, from)) = self.socket.recv_from(&mut buf).await {
                return (from, open_datagram(&self.key, &buf[..len]));
            }
        }
    }
}
