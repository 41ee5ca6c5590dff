use std::net::SocketAddr;

use geraniumpost_batch::{FromAgent, FromEntry, ToAgent, ToEntry};
use geraniumpost_schema::Name;
use serde::{Deserialize, Serialize};

/// What a process sends on a link that it opened to an entry.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum FromPeer {
    /// The first message: an entry that relays callers' requests.
    EntryHello {
        /// Its name.
        node: Name,
        /// Random number of its process.
        incarnation: u64,
    },
    /// The first message: an agent.
    AgentHello {
        /// Its name.
        node: Name,
    },
    /// The first and only message: does the coordinator answer you?
    Probe,
    /// The first and only message, from a coordinator: support no coordinator of an earlier term any more.
    Release {
        /// Its term.
        term: u64,
    },
    /// From an agent.
    AgentMessage(FromAgent),
    /// From an entry.
    EntryMessage(FromEntry),
}

/// What an entry answers on a link.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum ToPeer {
    /// This entry does not coordinate; the link ends.
    NotCoordinating,
    /// The answer to a probe.
    ProbeResponse {
        /// Whether the coordinator has answered lately.
        coordinator_responds: bool,
        /// Who coordinates as far as this entry knows: the address, and the fencing token.
        coordinator: Option<(SocketAddr, u64)>,
    },
    /// The answer to a request for release, which is granted.
    ReleaseResponse {
        /// The entry that answers.
        node: Name,
        /// Random number of its process.
        incarnation: u64,
        /// For how many milliseconds earlier coordinators may still count on it.
        remaining_ms: u64,
    },
    /// To an agent.
    Agent(ToAgent),
    /// To an entry.
    Entry(ToEntry),
}
