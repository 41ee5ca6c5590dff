use std::net::SocketAddr;

use geraniumpost_batch::{FromAgent, FromEntry, ToAgent, ToEntry};
use geraniumpost_schema::Name;
use serde::{Deserialize, Serialize};

/// Messages of a process on a link that it has opened to an entry.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum FromPeer {
    /// First message of an entry that relays callers' requests.
    EntryHello {
        /// Name of the entry, under which it is registered in the store.
        node: Name,
        /// Random number that distinguishes the entry's process from earlier ones.
        incarnation: u64,
    },
    /// First message of an agent.
    AgentHello {
        /// Name of the agent's VM.
        node: Name,
    },
    /// Asks whether the receiver gets responses from the coordinator. No other message is sent on
    /// this link.
    Probe,
    /// Requests that the receiver stop supporting the coordinators of all earlier terms. No other
    /// message is sent on this link.
    Release {
        /// Term of the requesting coordinator, which the receiver may continue to support.
        term: u64,
    },
    /// Any message of an agent after [`Self::AgentHello`].
    AgentMessage(FromAgent),
    /// Any message of an entry after [`Self::EntryHello`].
    EntryMessage(FromEntry),
}

/// Messages of an entry on a link that another process has opened.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum ToPeer {
    /// The entry does not coordinate; the other process must close the link.
    NotCoordinating,
    /// Response to [`FromPeer::Probe`].
    ProbeResponse {
        /// Whether the coordinator has responded to the entry recently.
        coordinator_responds: bool,
        /// Address and fencing token of the current coordinator as far as the entry knows.
        coordinator: Option<(SocketAddr, u64)>,
    },
    /// Response to [`FromPeer::Release`]. The request is always granted.
    ReleaseResponse {
        /// Name of the entry that responds.
        node: Name,
        /// Random number that identifies the entry's process.
        incarnation: u64,
        /// Time for which earlier coordinators may still rely on the entry's promises, in
        /// milliseconds.
        remaining_ms: u64,
    },
    /// Message of the coordinator to an agent.
    Agent(ToAgent),
    /// Message of the coordinator to an entry.
    Entry(ToEntry),
}
