use std::net::SocketAddr;

use geraniumpost_batch::{FromAgent, FromEntry, ToAgent, ToEntry};
use geraniumpost_schema::Name;
use serde::{Deserialize, Serialize};

/// Messages of a process on a link that it has opened to an entry.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum FromPeer {
    /// First message of an entry that relays callers' requests.
    EntryHello {
        /// Name of the entry.
        node: Name,
        /// Random number that identifies the entry's process.
        incarnation: u64,
    },
    /// First message of an agent.
    AgentHello {
        /// Name of the agent.
        node: Name,
    },
    /// Only message of an entry that asks whether the coordinator answers the receiver.
    Probe,
    /// Only message of a coordinator that requests the release of all promises to earlier terms.
    Release {
        /// Term of the requesting coordinator.
        term: u64,
    },
    /// Later messages of an agent.
    AgentMessage(FromAgent),
    /// Later messages of an entry.
    EntryMessage(FromEntry),
}

/// Messages of an entry on a link that another process has opened.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum ToPeer {
    /// This entry does not coordinate; the link ends.
    NotCoordinating,
    /// Response to [`FromPeer::Probe`].
    ProbeResponse {
        /// Whether the coordinator has answered the entry recently.
        coordinator_responds: bool,
        /// Address and fencing token of the current coordinator as far as the entry knows.
        coordinator: Option<(SocketAddr, u64)>,
    },
    /// Response to [`FromPeer::Release`]. The release is always granted.
    ReleaseResponse {
        /// Name of the entry that responds.
        node: Name,
        /// Random number that identifies the entry's process.
        incarnation: u64,
        /// Milliseconds for which earlier coordinators may still rely on promises of the entry.
        remaining_ms: u64,
    },
    /// Message of the coordinator to an agent.
    Agent(ToAgent),
    /// Message of the coordinator to an entry.
    Entry(ToEntry),
}
