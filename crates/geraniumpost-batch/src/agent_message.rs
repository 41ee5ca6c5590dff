use geraniumpost_schema::Name;
use serde::{Deserialize, Serialize};

use crate::{MinionInfo, Order, OrderResult, PollResult};

/// What an agent tells the coordinator.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum FromAgent {
    /// The first message of a link.
    Hello {
        /// The agent's name.
        agent: Name,
    },
    /// The agent is there, and asks for its lease to be extended.
    Heartbeat {
        /// The agent's own clock when it sent this, echoed in the answer.
        sent_at_ms: u64,
        /// Whether the minion answers the agent; a lease for one that does not is not extended.
        minion_ok: bool,
    },
    /// The incarnation beside the agent, or news of it.
    Minion(MinionInfo),
    /// An incarnation is certainly gone, with all that it ran. Repeated on every link until it is settled.
    MinionTerminated {
        /// The incarnation.
        minion: Name,
    },
    /// The minion's lists.
    PollResult(PollResult),
    /// What became of an order.
    Result(OrderResult),
}

/// What the coordinator tells an agent.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum ToAgent {
    /// The agent's lease is extended.
    Lease {
        /// The agent's clock, as it said in the beat that is answered.
        sent_at_ms: u64,
        /// How long tasks may be held from that instant, in milliseconds.
        lease_ms: u64,
        /// The coordinator's fencing token.
        fence: u64,
        /// Whether the coordinator reaches the store; if not, a successor may exist.
        store_ok: bool,
    },
    /// An order for the minion.
    Order(Order),
    /// All ends up to this number are committed, and the minion may forget them.
    Acknowledge {
        /// The incarnation.
        minion: Name,
        /// Number of the last end.
        up_to: u64,
    },
    /// The records hold that all that ran on an incarnation has ended; its agent may forget it.
    DepartureRecorded {
        /// The incarnation.
        minion: Name,
    },
}
