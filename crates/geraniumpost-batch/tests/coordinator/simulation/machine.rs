use geraniumpost_batch::{Departures, FromAgent, MinionInfo};
use geraniumpost_schema::Name;

use super::incarnation::Incarnation;
use crate::cluster::minion_info;

/// What a machine offers, in thousandths of a processor.
pub(super) const MACHINE_MILLI_CPUS: i64 = 16_000;
/// How long after its last answer a minion counts as answering, in milliseconds.
const ANSWER_TIMEOUT_MS: u64 = 1_600;

/// A machine, the minion on it, and the agent beside that minion.
///
/// What the agent knows of the minion may differ from what the minion does: tests are about the time
/// until both agree.
#[derive(Debug)]
pub(super) struct Machine {
    pub(super) name: String,
    /// Lives of its minion so far.
    pub(super) incarnations: u32,
    pub(super) minion: Option<Incarnation>,
    pub(super) milli_cpus: i64,
    pub(super) agent_up: bool,
    /// Whether anything passes between the agent and coordinators.
    pub(super) network_up: bool,
    /// Whether the agent has a link, as far as it knows.
    pub(super) linked: bool,
    /// Whether the coordinator has a link of it, which may be dead.
    pub(super) coordinator_sees_link: bool,
    /// When the agent opens another link, at the earliest.
    pub(super) next_link_ms: u64,
    /// The incarnation that the agent knows.
    pub(super) known_minion: Option<Name>,
    /// Whether the agent knows that the minion drains.
    pub(super) reported_draining: bool,
    /// What the minion offers, as far as the agent knows.
    pub(super) reported_milli_cpus: i64,
    /// Number of the last message about the minion.
    pub(super) sequence: u64,
    /// When the minion last answered the agent.
    pub(super) last_answer_ms: u64,
    /// When the lease that the agent holds ends.
    pub(super) lease_until_ms: u64,
    /// An incarnation that said its farewell, and when the agent takes it for gone.
    pub(super) deregistered: Option<(u64, Name)>,
    pub(super) departures: Departures,
    /// Until when the agent may stay that was asked to stop; it stays until all departures are
    /// settled.
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

    /// Returns what the agent says of its minion, if it knows one.
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

    /// Returns the agent's beat.
    pub(super) const fn heartbeat(&self, now_ms: u64) -> FromAgent {
        let answering = now_ms < self.last_answer_ms + ANSWER_TIMEOUT_MS;
        FromAgent::Beat { sent_at_ms: now_ms, minion_ok: self.known_minion.is_some() && answering }
    }

    /// Returns whether an incarnation lives.
    pub(super) fn hosts(&self, id: &Name) -> bool {
        self.minion.as_ref().is_some_and(|minion| minion.id == *id)
    }

    /// Returns whether the agent knows the incarnation that lives.
    pub(super) fn knows_minion(&self) -> bool {
        self.known_minion.as_ref().is_some_and(|id| self.hosts(id))
    }

    /// Lets the agent learn how the minion is. Returns whether that is news.
    pub(super) fn refresh_reported(&mut self) -> bool {
        let Some(minion) = &self.minion else { return false };
        let draining = std::mem::replace(&mut self.reported_draining, minion.draining);
        let milli_cpus = std::mem::replace(&mut self.reported_milli_cpus, self.milli_cpus);
        draining != minion.draining || milli_cpus != self.milli_cpus
    }

    /// Extends the agent's lease until a time, if it does not hold for longer.
    pub(super) fn extend_lease(&mut self, until_ms: u64) {
        self.lease_until_ms = self.lease_until_ms.max(until_ms);
    }

    /// Forgets what the agent knew.
    pub(super) fn reset_agent(&mut self) {
        self.stop_deadline_ms = None;
        self.departures = Departures::default();
        self.agent_up = false;
        self.known_minion = None;
        self.deregistered = None;
        self.lease_until_ms = 0;
        self.linked = false;
    }

    /// Returns whether nothing changes here by itself: a minion without an agent ends what it runs when
    /// its lease has lapsed.
    pub(super) fn is_stable(&self) -> bool {
        self.linked || self.minion.as_ref().is_none_or(|minion| minion.lease_until_ms == 0)
    }
}
