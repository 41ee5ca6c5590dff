//! A TCP or UDP relay that can cut, stall and delay what passes, each direction by itself.
//!
//! A stalled connection stays silent for good, as one whose state a middlebox has lost: once bytes
//! have been swallowed, passing on later ones would present a stream with a hole in it.

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
