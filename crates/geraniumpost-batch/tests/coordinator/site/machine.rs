use geraniumpost_batch::{Departures, FromAgent, MinionInfo};
use geraniumpost_schema::Name;

use super::incarnation::Incarnation;
use crate::world::minion;

/// What a machine offers, in thousandths of a processor.
pub(super) const CAPACITY_MILLI_CPUS: i64 = 16_000;
/// How long after its last answer a minion counts as answering, in milliseconds.
const ANSWERED_MS: u64 = 1_600;

/// A machine, the minion on it, and the agent beside that minion.
///
/// What the agent knows of the minion may differ from what the minion does: tests are about the time
/// until both agree.
#[derive(Debug)]
pub(super) struct Machine {
    pub(super) name: String,
    /// Lives of its minion so far.
    pub(super) lives: u32,
    pub(super) minion: Option<Incarnation>,
    pub(super) milli_cpus: i64,
    pub(super) agent_up: bool,
    /// Whether anything passes between the agent and coordinators.
    pub(super) path_open: bool,
    /// Whether the agent has a link, as far as it knows.
    pub(super) linked: bool,
    /// Whether the coordinator has a link of it, which may be dead.
    pub(super) known_linked: bool,
    /// When the agent opens another link, at the earliest.
    pub(super) link_at_ms: u64,
    /// The incarnation that the agent knows.
    pub(super) present: Option<Name>,
    /// Whether the agent knows that the minion drains.
    pub(super) told_draining: bool,
    /// What the minion offers, as far as the agent knows.
    pub(super) told_milli_cpus: i64,
    /// Number of the last message about the minion.
    pub(super) sequence: u64,
    /// When the minion last answered the agent.
    pub(super) answered_ms: u64,
    /// When the lease that the agent holds ends.
    pub(super) lease_ms: u64,
    /// An incarnation that said its farewell, and when the agent takes it for gone.
    pub(super) leaving: Option<(u64, Name)>,
    pub(super) departures: Departures,
    /// Until when the agent may stay that was asked to stop; it stays until all departures are
    /// settled.
    pub(super) stopping_ms: Option<u64>,
}

impl Machine {
    pub(super) fn new(name: &str) -> Self {
        Self {
            name: name.to_owned(),
            lives: 1,
            minion: Some(Incarnation::new(name)),
            milli_cpus: CAPACITY_MILLI_CPUS,
            agent_up: true,
            path_open: true,
            linked: false,
            known_linked: false,
            link_at_ms: 0,
            present: None,
            told_draining: false,
            told_milli_cpus: CAPACITY_MILLI_CPUS,
            sequence: 0,
            answered_ms: 0,
            lease_ms: 0,
            leaving: None,
            departures: Departures::default(),
            stopping_ms: None,
        }
    }

    /// Returns what the agent says of its minion, if it knows one.
    pub(super) fn info(&mut self) -> Option<MinionInfo> {
        let id = self.present.clone()?;
        self.sequence += 1;
        let mut info = minion(&id);
        info.draining = self.told_draining;
        info.remaining_ms = self.told_draining.then_some(3_000);
        info.capacity.milli_cpus = self.told_milli_cpus;
        info.sequence = self.sequence;
        Some(info)
    }

    /// Returns the agent's beat.
    pub(super) const fn beat(&self, now_ms: u64) -> FromAgent {
        let answers = now_ms < self.answered_ms + ANSWERED_MS;
        FromAgent::Heartbeat { sent_at_ms: now_ms, minion_ok: self.present.is_some() && answers }
    }

    /// Returns whether an incarnation lives.
    pub(super) fn lives(&self, id: &Name) -> bool {
        self.minion.as_ref().is_some_and(|minion| minion.id == *id)
    }

    /// Returns whether the agent knows the incarnation that lives.
    pub(super) fn knows_minion(&self) -> bool {
        self.present.as_ref().is_some_and(|id| self.lives(id))
    }

    /// Lets the agent learn how the minion is. Returns whether that is news.
    pub(super) fn learn(&mut self) -> bool {
        let Some(minion) = &self.minion else { return false };
        let draining = std::mem::replace(&mut self.told_draining, minion.draining);
        let milli_cpus = std::mem::replace(&mut self.told_milli_cpus, self.milli_cpus);
        draining != minion.draining || milli_cpus != self.milli_cpus
    }

    /// Extends the agent's lease until a time, if it does not hold for longer.
    pub(super) fn extend_lease(&mut self, until_ms: u64) {
        self.lease_ms = self.lease_ms.max(until_ms);
    }

    /// Forgets what the agent knew.
    pub(super) fn forget_agent(&mut self) {
        self.stopping_ms = None;
        self.departures = Departures::default();
        self.agent_up = false;
        self.present = None;
        self.leaving = None;
        self.lease_ms = 0;
        self.linked = false;
    }

    /// Returns whether nothing changes here by itself: a minion without an agent ends what it runs when
    /// its lease has lapsed.
    pub(super) fn is_settled(&self) -> bool {
        self.linked || self.minion.as_ref().is_none_or(|minion| minion.hold_ms == 0)
    }
}
