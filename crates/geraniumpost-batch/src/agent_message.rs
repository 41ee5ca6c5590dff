use geraniumpost_schema::Name;
use serde::{Deserialize, Deserializer, Serialize};

use crate::{MinionInfo, Order, OrderResult, PollResult};

/// A message from an agent to the coordinator.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum FromAgent {
    /// The first message on a connection.
    Hello {
        /// Name of the agent; it does not change when the minion restarts.
        agent: Name,
    },
    /// Periodic sign of life, which asks for an extension of the agent's lease.
    Heartbeat {
        /// Monotonic clock of the agent when it sent the heartbeat, in milliseconds; the response
        /// repeats it.
        sent_at_ms: u64,
        /// Whether the minion responds to the agent. If not, the lease is not extended.
        minion_ok: bool,
    },
    /// Properties of the minion on the agent's VM; sent again when they change.
    Minion(MinionInfo),
    /// An incarnation has terminated, and all its tasks with it. Repeated on every connection until
    /// the coordinator responds with [`ToAgent::DepartureRecorded`].
    MinionTerminated {
        /// Name of the terminated incarnation. A later incarnation may already run on the VM.
        minion: Name,
        /// Whether the incarnation was replaced without having announced that it would terminate.
        /// Agents of earlier versions omit this field, which then is false; coordinators of earlier
        /// versions ignore it.
        #[serde(deserialize_with = "bool_or_false")]
        crashed: bool,
        /// Name of the incarnation that runs under the same id now, if the minion has started
        /// again. Agents of earlier versions omit this field; coordinators of earlier versions
        /// ignore it.
        #[serde(deserialize_with = "name_or_none")]
        replaced_by: Option<Name>,
    },
    /// The minion's lists of running and ended tasks.
    PollResult(PollResult),
    /// The minion's response to an order, or the reason why there is none.
    Result(OrderResult),
}

/// Reads the last field of a message, which earlier versions omit.
#[expect(clippy::unnecessary_wraps, reason = "serde requires this signature")]
fn bool_or_false<'de, D: Deserializer<'de>>(deserializer: D) -> Result<bool, D::Error> {
    Ok(bool::deserialize(deserializer).unwrap_or_default())
}

/// Reads the last field of a message, which earlier versions omit.
#[expect(clippy::unnecessary_wraps, reason = "serde requires this signature")]
fn name_or_none<'de, D: Deserializer<'de>>(deserializer: D) -> Result<Option<Name>, D::Error> {
    Ok(Option::deserialize(deserializer).unwrap_or_default())
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
        /// Fencing token of the coordinator: the number of its term. An agent that knows a higher
        /// token does not extend its lease.
        fence: u64,
        /// Whether the coordinator reaches the store. If not, a successor may exist.
        store_ok: bool,
    },
    /// An order that the agent passes on to its minion.
    Order(Order),
    /// All ended tasks up to this sequence number are committed. The minion may discard them.
    Acknowledge {
        /// Name of the incarnation that listed the ended tasks.
        minion: Name,
        /// Sequence number of the last committed end.
        up_to: u64,
    },
    /// The stored job records contain the end of every run on a terminated incarnation. The agent
    /// stops reporting that incarnation.
    DepartureRecorded {
        /// Name of the incarnation from [`FromAgent::MinionTerminated`].
        minion: Name,
    },
}
