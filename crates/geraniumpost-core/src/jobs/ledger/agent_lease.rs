use std::collections::VecDeque;

use geraniumpost_schema::HeartbeatAck;

use crate::Millis;

/// Number of latest heartbeats whose acknowledgements are accepted. The acknowledgement of an older
/// heartbeat could only extend the lease to an instant that has passed.
const MAX_SENT_HEARTBEATS: usize = 512;

/// The lease under which the planner lets the agent run tasks.
///
/// The lease counts from the instant at which the heartbeat was *sent*. An acknowledgement that was
/// delayed, by the network or because a process was paused, therefore never extends the lease
/// beyond the time that the planner assumed when it acknowledged the heartbeat.
#[derive(Debug, Clone, Default)]
pub(super) struct AgentLease {
    sent_heartbeats: VecDeque<(u64, Millis)>,
    term: u64,
    until: Millis,
    granted_ms: u64,
}

impl AgentLease {
    pub(super) fn record_sent(&mut self, sequence: u64, now: Millis) {
        if self.sent_heartbeats.len() == MAX_SENT_HEARTBEATS {
            self.sent_heartbeats.pop_front();
        }
        self.sent_heartbeats.push_back((sequence, now));
    }

    pub(super) fn extend(&mut self, ack: &HeartbeatAck) {
        let sent = self.sent_heartbeats.iter().find(|(sequence, _)| *sequence == ack.sequence);
        let Some(&(_, sent)) = sent else { return };
        let until = sent.plus(ack.hold_ms);
        if ack.term > self.term {
            self.term = ack.term;
        }
        if until > self.until {
            self.until = until;
            self.granted_ms = ack.hold_ms;
        }
    }

    pub(super) const fn until(&self) -> Millis {
        self.until
    }

    /// Returns whether the lease has not expired, so that tasks may be started and renewed.
    pub(super) fn is_valid(&self, now: Millis) -> bool {
        now < self.until
    }

    /// Returns the granted duration in milliseconds in the second half of the lease, and `None` in
    /// the first half and after the expiry.
    pub(super) fn granted_ms_if_near_expiry(&self, now: Millis) -> Option<u64> {
        let remaining_ms = self.until.since(now);
        (remaining_ms > 0 && 2 * remaining_ms <= self.granted_ms).then_some(self.granted_ms)
    }

    /// Returns whether this process was ever granted a lease.
    ///
    /// A process that just started has no lease, and neither renews nor stops the tasks that it
    /// adopted; these end with the worker's leases, which the previous process renewed last.
    pub(super) fn was_granted(&self) -> bool {
        self.until > Millis::default()
    }

    /// Returns whether a task may be started by an order of `term`.
    ///
    /// A process that just started knows no term and could accept an order of a planner that was
    /// superseded long ago. Such a planner has noticed that its lease expired and grants no agent
    /// leases. Requiring an agent lease of the same term therefore rejects its orders.
    pub(super) fn permits_starts_under(&self, term: u64, now: Millis) -> bool {
        self.term == term && self.is_valid(now)
    }
}
