//! Why a peer's bytes were dropped, as a metric's label.

use geraniumpost_net::NetError;

/// Returns the reason in one word, so that the metric has few labels.
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
