use geraniumpost_core::Millis;

use super::TaskOrder;

/// What the task that keeps the VM's ledger is told.
#[derive(Debug, Clone)]
pub enum TaskEvent {
    /// A planner's order.
    Order(TaskOrder),
    /// A heartbeat is about to be sent.
    HeartbeatSent {
        /// Its number.
        sequence: u64,
        /// When.
        at: Millis,
    },
    /// A planner lets tasks go on.
    Hold {
        /// Number of the heartbeat that was answered.
        sequence: u64,
        /// The planner's term.
        term: u64,
        /// How long from the sending of that heartbeat, in milliseconds.
        hold_ms: u64,
    },
    /// A link to an entry has come up; reports may go over it.
    LinkUp(geraniumpost_net::LinkSender<geraniumpost_schema::ToEntry>),
}
