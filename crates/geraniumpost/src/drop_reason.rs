//! Label for the reason why bytes received from a peer were dropped.

use geraniumpost_net::NetError;

/// Returns the value of the metric label `why`. It contains no details of the error, so that the
/// label has few values.
pub const fn reason(error: &NetError) -> &'static str {
    match error {
        NetError::Io(_) => "connection",
        NetError::Codec(_) => "malformed",
        NetError::WrongKey => "wrong_key",
        NetError::TooLarge(_) => "too_large",
        NetError::Handshake => "handshake",
        NetError::TimedOut => "timeout",
    }
}
