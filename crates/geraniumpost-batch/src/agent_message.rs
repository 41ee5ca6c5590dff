use geraniumpost_schema::Name;
use serde::{Deserialize, Serialize};

use crate::{MinionInfo, Order, OrderResult, PollResult};

/// A message from an agent to the coordinator.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum FromAgent {
    /// The first message on a connection.
    Hello {
        /// The agent's name.
        agent: Name,
    },
    /// Periodic sign of life, which asks for an extension of the agent's lease.
    Heartbeat {
        /// The agent's clock when it sent the heartbeat; the response repeats it.
        sent_at_ms: u64,
        /// Whether the minion answers the agent. If not, the lease is not extended.
        minion_ok: bool,
    },
    /// The incarnation beside the agent; sent again when its properties change.
    Minion(MinionInfo),
    /// An incarnation has terminated, and all its tasks with it. Repeated on every connection until
    /// the coordinator answers [`ToAgent::DepartureRecorded`].
    MinionTerminated {
        /// The incarnation.
        minion: Name,
    },
    /// The minion's lists of running and ended tasks.
    PollResult(PollResult),
    /// The result of an order.
    Result(OrderResult),
}

/// A message from the coordinator to an agent.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum ToAgent {
    /// Response to a heartbeat.
    Lease {
        /// The agent's clock, copied from the heartbeat.
        sent_at_ms: u64,
        /// Duration of the lease from that time, in milliseconds; 0 if it is not extended.
        lease_ms: u64,
        /// The coordinator's fencing token.
        fence: u64,
        /// Whether the coordinator reaches the store. If not, a successor may exist.
        store_ok: bool,
    },
    /// An order for the minion.
    Order(Order),
    /// All ended tasks up to this sequence number are committed, so that the minion may discard
    /// them.
    Acknowledge {
        /// The incarnation.
        minion: Name,
        /// Sequence number of the last of them.
        up_to: u64,
    },
    /// The job records hold that every run on a terminated incarnation has ended. The agent need
    /// not report the incarnation again.
    DepartureRecorded {
        /// The incarnation.
        minion: Name,
    },
}
