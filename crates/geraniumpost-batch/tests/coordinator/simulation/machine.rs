use geraniumpost_batch::{Departures, FromAgent, MinionInfo};
use geraniumpost_schema::Name;

use super::incarnation::Incarnation;
use crate::cluster::minion_info;

/// Capacity of a machine, in thousandths of a processor.
pub(super) const MACHINE_MILLI_CPUS: i64 = 16_000;
/// Time after its last answer for which a minion counts as answering, in milliseconds.
const ANSWER_TIMEOUT_MS: u64 = 1_600;

/// A machine with a minion and its agent.
///
/// The agent's view of the minion may be outdated: tests examine the time until it is correct
/// again.
#[derive(Debug)]
pub(super) struct Machine {
    pub(super) name: String,
    /// Number of incarnations of its minion so far.
    pub(super) incarnations: u32,
    pub(super) minion: Option<Incarnation>,
    pub(super) milli_cpus: i64,
    pub(super) agent_up: bool,
    /// Whether messages pass between the agent and coordinators.
    pub(super) network_up: bool,
    /// Whether the agent has an open link, as far as it knows.
    pub(super) linked: bool,
    /// Whether the coordinator has an open link of the agent, which may be dead.
    pub(super) coordinator_sees_link: bool,
    /// The earliest time at which the agent opens its next link.
    pub(super) next_link_ms: u64,
    /// The incarnation that the agent knows.
    pub(super) known_minion: Option<Name>,
    /// Whether the agent knows that the minion drains.
    pub(super) reported_draining: bool,
    /// Capacity that the minion offers, as far as the agent knows.
    pub(super) reported_milli_cpus: i64,
    /// Sequence number of the last message about the minion.
    pub(super) sequence: u64,
    /// When the minion last answered the agent.
    pub(super) last_answer_ms: u64,
    /// When the agent's lease ends.
    pub(super) lease_until_ms: u64,
    /// A deregistered incarnation, and when the agent treats it as departed.
    pub(super) deregistered: Option<(u64, Name)>,
    pub(super) departures: Departures,
    /// Deadline of an agent that was asked to stop; it stops earlier if all departures are settled.
    pub(super) stop_deadline_ms: Option<u64>,
}

impl Machine {
    pub(super) fn new(name: &str) -> Self {
        Self {
            name: name.to_owned(),
            incarnations: 1,
            minion: Some(Incarnation::new(name)),
            milli_cpus: MACHINE_MILLI_CPUS,
            agent_up: true,
            network_up: true,
            linked: false,
            coordinator_sees_link: false,
            next_link_ms: 0,
            known_minion: None,
            reported_draining: false,
            reported_milli_cpus: MACHINE_MILLI_CPUS,
            sequence: 0,
            last_answer_ms: 0,
            lease_until_ms: 0,
            deregistered: None,
            departures: Departures::default(),
            stop_deadline_ms: None,
        }
    }

    /// Returns the agent's next message about its minion, if it knows one.
    pub(super) fn reported_info(&mut self) -> Option<MinionInfo> {
        let id = self.known_minion.clone()?;
        self.sequence += 1;
        let mut info = minion_info(&id);
        info.draining = self.reported_draining;
        info.remaining_ms = self.reported_draining.then_some(3_000);
        info.capacity.milli_cpus = self.reported_milli_cpus;
        info.sequence = self.sequence;
        Some(info)
    }

    pub(super) const fn heartbeat(&self, now_ms: u64) -> FromAgent {
        let answering = now_ms < self.last_answer_ms + ANSWER_TIMEOUT_MS;
        FromAgent::Heartbeat {
            sent_at_ms: now_ms,
            minion_ok: self.known_minion.is_some() && answering,
        }
    }

    /// Returns whether an incarnation is running here.
    pub(super) fn hosts(&self, id: &Name) -> bool {
        self.minion.as_ref().is_some_and(|minion| minion.id == *id)
    }

    /// Returns whether the agent knows the running incarnation.
    pub(super) fn knows_minion(&self) -> bool {
        self.known_minion.as_ref().is_some_and(|id| self.hosts(id))
    }

    /// Updates the agent's view of the minion. Returns whether it has changed.
    pub(super) fn refresh_reported(&mut self) -> bool {
        let Some(minion) = &self.minion else { return false };
        let draining = std::mem::replace(&mut self.reported_draining, minion.draining);
        let milli_cpus = std::mem::replace(&mut self.reported_milli_cpus, self.milli_cpus);
        draining != minion.draining || milli_cpus != self.milli_cpus
    }

    /// Extends the agent's lease until a time, unless it already lasts longer.
    pub(super) fn extend_lease(&mut self, until_ms: u64) {
        self.lease_until_ms = self.lease_until_ms.max(until_ms);
    }

    /// Clears the state of the agent, which is no longer running.
    pub(super) fn reset_agent(&mut self) {
        self.stop_deadline_ms = None;
        self.departures = Departures::default();
        self.agent_up = false;
        self.known_minion = None;
        self.deregistered = None;
        self.lease_until_ms = 0;
        self.linked = false;
    }

    /// Returns whether no change is pending here: a minion without an agent ends its runs when its
    /// lease has expired.
    pub(super) fn is_stable(&self) -> bool {
        self.linked || self.minion.as_ref().is_none_or(|minion| minion.lease_until_ms == 0)
    }
}
