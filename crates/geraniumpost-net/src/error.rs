use derive_more::{Display, From};

/// Why a datagram was dropped, or a link was refused or closed.
#[derive(Debug, Display, From)]
pub enum NetError {
    /// The connection or socket failed.
    #[display("connection failed: {_0}")]
    Io(std::io::Error),
    /// The bytes are not a message of this version.
    #[display("malformed message: {_0}")]
    Codec(postcard::Error),
    /// The tag or proof is invalid, so the peer does not have the shared key or the bytes changed.
    #[display("the other side does not hold the shared key")]
    WrongKey,
    /// A frame or datagram exceeds its limit.
    #[display("message of {_0} bytes is too large")]
    #[from(ignore)]
    TooLarge(usize),
    /// A handshake frame arrived out of order.
    #[display("unexpected handshake frame")]
    Handshake,
    /// The peer did not complete the connection or handshake in time.
    #[display("timed out")]
    TimedOut,
}

impl std::error::Error for NetError {}

impl NetError {
    /// Returns whether the peer sent invalid data or failed authentication, as opposed to being
    /// unreachable.
    pub const fn is_protocol_violation(&self) -> bool {
        matches!(self, Self::Codec(_) | Self::WrongKey | Self::TooLarge(_) | Self::Handshake)
    }
}
