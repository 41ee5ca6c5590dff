//! A TCP or UDP relay that can close connections, and discard or delay data in each direction.
//!
//! A stalled connection never forwards data again, like one whose state a middlebox has lost. Once
//! bytes have been discarded, forwarding later ones would corrupt the stream.

mod direction;
mod faults;
mod protocol;
mod serve;
mod shared;
mod tcp;
mod udp;

pub use direction::Direction;
pub use faults::RelayFaults;
pub use protocol::Protocol;
pub use serve::spawn_in_process;
