use std::collections::VecDeque;

use geraniumpost_schema::HeartbeatAck;

use crate::Millis;

/// Heartbeats whose answers are still of use; older ones could only grant a hold that has lapsed.
const REMEMBERED: usize = 512;

/// How long the planner lets tasks go on.
///
/// A hold counts from the moment the heartbeat was *sent*. An answer that was delayed, by the
/// network or because a process was paused, thereby never extends it beyond what the planner
/// counted when it answered.
#[derive(Debug, Clone, Default)]
pub(super) struct Hold {
    sent: VecDeque<(u64, Millis)>,
    term: u64,
    until: Millis,
    granted_ms: u64,
}

impl Hold {
    pub(super) fn sent(&mut self, sequence: u64, now: Millis) {
        if self.sent.len() == REMEMBERED {
            self.sent.pop_front();
        }
        self.sent.push_back((sequence, now));
    }

    pub(super) fn extend(&mut self, ack: &HeartbeatAck) {
        let sent = self.sent.iter().find(|(sequence, _)| *sequence == ack.sequence);
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

    /// Returns whether tasks may go on.
    pub(super) fn is_valid(&self, now: Millis) -> bool {
        now < self.until
    }

    /// Returns for how long the hold was last granted, if half of that or less is left.
    pub(super) fn fading(&self, now: Millis) -> Option<u64> {
        let left_ms = self.until.since(now);
        (left_ms > 0 && 2 * left_ms <= self.granted_ms).then_some(self.granted_ms)
    }

    /// Returns whether this process ever had a hold.
    ///
    /// A process that just started has none yet. It neither renews nor stops what it adopted: the
    /// worker's leases, which the previous process renewed last, bound that by themselves.
    pub(super) fn was_granted(&self) -> bool {
        self.until > Millis::default()
    }

    /// Returns whether a start under `term` may begin.
    ///
    /// A process that just started knows no term and could take an order of a planner long
    /// superseded. Such a planner has noticed its lapse and grants no holds, so that asking for a
    /// hold of the same term keeps its order out.
    pub(super) fn covers(&self, term: u64, now: Millis) -> bool {
        self.term == term && self.is_valid(now)
    }
}
