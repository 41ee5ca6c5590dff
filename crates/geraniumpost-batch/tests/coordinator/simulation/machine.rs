use geraniumpost_batch::{Departures, FromAgent, MinionInfo};
use geraniumpost_schema::Name;

use super::incarnation::Incarnation;
use crate::cluster::minion_info;

/// Capacity of a machine, in thousandths of a processor.
pub(super) const MACHINE_MILLI_CPUS: i64 = 16_000;
/// Time after its last response for which a minion counts as responsive, in milliseconds.
const RESPONSE_TIMEOUT_MS: u64 = 1_600;

/// A machine with a minion and its agent.
///
/// What the agent knows of the minion (`known_...`) may be outdated, for example until the next
/// poll discovers a new incarnation.
#[derive(Debug)]
pub(super) struct Machine {
    pub(super) name: String,
    /// Number of incarnations of the minion so far.
    pub(super) incarnations: u32,
    /// Running incarnation of the minion, if any.
    pub(super) minion: Option<Incarnation>,
    /// Capacity that the minion offers, in thousandths of a processor.
    pub(super) milli_cpus: i64,
    pub(super) agent_up: bool,
    /// Whether the network between the agent and coordinators is up.
    pub(super) network_up: bool,
    /// Whether the agent considers its link open.
    pub(super) linked: bool,
    /// Whether the coordinator considers a link of the agent open. The coordinator does not detect
    /// a dead link that was not closed.
    pub(super) coordinator_sees_link: bool,
    /// Earliest time at which the agent opens its next link, on the monotonic clock.
    pub(super) next_link_ms: u64,
    /// Incarnation that the agent has discovered and not recorded as departed.
    pub(super) known_minion: Option<Name>,
    /// Whether the agent knows that the minion drains.
    pub(super) known_draining: bool,
    /// Capacity that the minion offers, as far as the agent knows, in thousandths of a processor.
    pub(super) known_milli_cpus: i64,
    /// Sequence number of the agent's last message about the minion.
    pub(super) sequence: u64,
    /// Time at which the minion last responded to the agent, on the monotonic clock.
    pub(super) last_response_ms: u64,
    /// End of the agent's lease, on the monotonic clock.
    pub(super) lease_until_ms: u64,
    /// A deregistered incarnation, and the time at which the agent records its departure.
    pub(super) deregistered: Option<(u64, Name)>,
    /// Departures that the coordinator has not recorded yet.
    pub(super) departures: Departures,
    /// Time at which an agent that was asked to stop is terminated at the latest. It stops earlier
    /// if all departures are settled.
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
            known_draining: false,
            known_milli_cpus: MACHINE_MILLI_CPUS,
            sequence: 0,
            last_response_ms: 0,
            lease_until_ms: 0,
            deregistered: None,
            departures: Departures::default(),
            stop_deadline_ms: None,
        }
    }

    /// Returns the agent's next description of its minion, or `None` if the agent has discovered
    /// no minion.
    pub(super) fn next_minion_info(&mut self) -> Option<MinionInfo> {
        let id = self.known_minion.clone()?;
        self.sequence += 1;
        let mut info = minion_info(&id);
        info.draining = self.known_draining;
        info.remaining_ms = self.known_draining.then_some(3_000);
        info.capacity.milli_cpus = self.known_milli_cpus;
        info.sequence = self.sequence;
        Some(info)
    }

    pub(super) const fn heartbeat_message(&self, now_ms: u64) -> FromAgent {
        let responding = now_ms < self.last_response_ms + RESPONSE_TIMEOUT_MS;
        FromAgent::Heartbeat {
            sent_at_ms: now_ms,
            minion_ok: self.known_minion.is_some() && responding,
        }
    }

    /// Returns whether the incarnation `id` is running on this machine.
    pub(super) fn hosts(&self, id: &Name) -> bool {
        self.minion.as_ref().is_some_and(|minion| minion.id == *id)
    }

    /// Returns whether a minion is running and its agent has discovered this incarnation.
    pub(super) fn knows_minion(&self) -> bool {
        self.known_minion.as_ref().is_some_and(|id| self.hosts(id))
    }

    /// Updates the agent's knowledge of the minion's state. Returns whether the state has changed.
    pub(super) fn refresh_known_state(&mut self) -> bool {
        let Some(minion) = &self.minion else { return false };
        let draining = std::mem::replace(&mut self.known_draining, minion.draining);
        let milli_cpus = std::mem::replace(&mut self.known_milli_cpus, self.milli_cpus);
        draining != minion.draining || milli_cpus != self.milli_cpus
    }

    /// Extends the agent's lease until `until_ms`, unless it already lasts longer.
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

    /// Returns whether nothing is pending: the agent is linked, or the minion holds no lease. The
    /// expiry of a lease would end the minion's runs.
    pub(super) fn is_stable(&self) -> bool {
        self.linked || self.minion.as_ref().is_none_or(|minion| minion.lease_until_ms == 0)
    }
}
