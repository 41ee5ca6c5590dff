use derive_more::{Display, From};

/// Why a datagram or link was refused or ended.
#[derive(Debug, Display, From)]
pub enum NetError {
    /// The connection or socket failed.
    #[display("connection failed: {_0}")]
    Io(std::io::Error),
    /// The bytes are no message of this version.
    #[display("malformed message: {_0}")]
    Codec(postcard::Error),
    /// The tag or proof was not made with the shared key.
    #[display("the other side does not hold the shared key")]
    WrongKey,
    /// A frame or datagram is larger than allowed.
    #[display("message of {_0} bytes is too large")]
    #[from(ignore)]
    TooLarge(usize),
    /// The handshake's frames came out of order.
    #[display("unexpected handshake frame")]
    Handshake,
    /// The other side did not answer in time.
    #[display("timed out")]
    TimedOut,
}

impl std::error::Error for NetError {}

impl NetError {
    /// Returns whether the other side is a stranger or broken, rather than away.
    pub const fn is_protocol_violation(&self) -> bool {
        matches!(self, Self::Codec(_) | Self::WrongKey | Self::TooLarge(_) | Self::Handshake)
    }
}
