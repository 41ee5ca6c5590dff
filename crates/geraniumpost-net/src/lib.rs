//! Authenticated datagrams and multiplexed links between geraniumpost processes.
//!
//! All processes of a deployment have the same [`SharedKey`]. Each datagram carries a message
//! authentication code made with it; each link starts with a handshake in which both sides prove
//! that they have it. A host without the key can therefore neither announce an agent nor start a
//! task. Datagrams, and links after the handshake, are not encrypted: the network between the VMs
//! is trusted not to alter connections (`docs/design/0003-links.md`).
//!
//! ```
//! use geraniumpost_net::{SharedKey, open_datagram, seal_datagram};
//! use geraniumpost_schema::{Datagram, HeartbeatAck};
//! let key = SharedKey::from("sixteen characters or more");
//! let ack = HeartbeatAck {
//!     entry: "entry-1".into(), sequence: 7, incarnation: 1, config_revision: 3, term: 0,
//!     hold_ms: 0, entries_digest: 0, entries: vec![],
//! };
//! let sealed = seal_datagram(&key, &Datagram::HeartbeatAck(ack)).unwrap();
//! assert!(open_datagram(&key, &sealed).is_ok());
//! assert!(open_datagram(&SharedKey::from("another key, just as long"), &sealed).is_err());
//! ```

mod datagram;
mod error;
mod frame;
mod handshake;
mod link;
mod shared_key;

pub use datagram::{MAX_DATAGRAM_BYTES, open_datagram, seal_datagram};
pub use error::NetError;
pub use frame::{Frame, FrameReader, MAX_BODY_BYTES, MAX_HEAD_BYTES, encode_frame};
pub use handshake::{Connection, HANDSHAKE_TIMEOUT, Identity, accept, connect};
pub use link::{LinkReceiver, LinkSender, open_link};
pub use shared_key::SharedKey;
