use geraniumpost_core::Millis;

use super::TaskOrder;

/// Event for the asynchronous task that owns the VM's ledger.
#[derive(Debug, Clone)]
pub enum TaskEvent {
    /// An order of a planner was received.
    Order(TaskOrder),
    /// A heartbeat is about to be sent.
    HeartbeatSent {
        /// Sequence number of the heartbeat.
        sequence: u64,
        /// Time of sending.
        at: Millis,
    },
    /// A planner has granted an agent lease in its answer to a heartbeat.
    LeaseGranted {
        /// Sequence number of the heartbeat.
        sequence: u64,
        /// Term of the planner.
        term: u64,
        /// Duration of the lease in milliseconds, from the sending of the heartbeat.
        lease_ms: u64,
    },
    /// A link to an entry was established, over which reports can be sent.
    LinkUp(geraniumpost_net::LinkSender<geraniumpost_schema::ToEntry>),
}
