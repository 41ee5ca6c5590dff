use std::collections::HashMap;

use geraniumpost_schema::Name;

use super::{AgentView, EjectionChange, EjectionLimits, ServiceView};
use crate::Millis;

/// Failures of one incarnation of an agent.
#[derive(Debug, Clone, Copy, Default)]
struct Record {
    incarnation: u64,
    streak: u32,
    failures: u64,
    total: u64,
    window: Millis,
    ejections: u32,
    probe_at: Millis,
    capped: bool,
}

/// Keeps work from minions that fail what they are given, and tries them again now and then.
///
/// A minion that fails everything at once is always idle, so load balancing alone sends it most of
/// the requests and the caller sees most of them fail. The ejector takes such an agent out after a
/// few failures in a row or a high share of failures, lets one request probe it after a pause that
/// doubles each time, and never takes out more than a share of a service: when all minions fail,
/// the fault lies with the requests, and ejecting everyone would turn it into an outage.
///
/// # Example
///
/// ```
/// use geraniumpost_core::requests::{AgentView, EjectionChange, Ejector, Location, Snapshot};
/// use geraniumpost_core::Millis;
/// let agents = ["a1", "a2"].map(|name| AgentView::new(name, 1).service("filing"));
/// let snapshot = Snapshot::new(agents, &Location::default());
/// let service = snapshot.service("filing").unwrap();
/// let (mut ejector, agent) = (Ejector::default(), snapshot.agent("a1").unwrap());
/// for _ in 0..4 {
///     assert_eq!(ejector.record(service, agent, false, Millis(5)), EjectionChange::None);
/// }
/// ejector.record(service, agent, false, Millis(5));
/// assert!(agent.counters().is_ejected());
/// ```
#[derive(Debug, Default)]
pub struct Ejector {
    limits: EjectionLimits,
    records: HashMap<Name, Record>,
}

impl Ejector {
    /// Returns an ejector with `limits` and no failures on record.
    pub fn new(limits: EjectionLimits) -> Self {
        Self { limits, records: HashMap::new() }
    }

    /// Takes in whether an attempt at `agent` succeeded.
    ///
    /// Call it when [`super::AgentGauge::record_result`] says so, and publish a new snapshot if the result
    /// is `Ejected` or `Restored`.
    pub fn record(
        &mut self,
        service: &ServiceView,
        agent: &AgentView,
        success: bool,
        now: Millis,
    ) -> EjectionChange {
        let limits = self.limits;
        let record = self.records.entry(agent.name().clone()).or_default();
        if record.incarnation != agent.incarnation() {
            *record = Record { incarnation: agent.incarnation(), window: now, ..Record::default() };
        }
        record.count(agent, success, now, &limits);
        let gauge = agent.counters();
        if success {
            gauge.set_troubled(record.ejections > 0 || record.failures > 0);
            return record.succeeded(agent, now);
        }
        if gauge.is_ejected() {
            return record.failed_again(agent, now, &limits);
        }
        if !record.is_bad(&limits) {
            return EjectionChange::None;
        }
        let ejected = service.agents().iter().filter(|other| other.counters().is_ejected()).count();
        if ejected >= limits.most(service.agents().len()) {
            return record.capped();
        }
        record.eject(agent, now, &limits)
    }

    /// Forgets the failures of an agent that is gone.
    pub fn forget(&mut self, agent: &str) {
        self.records.remove(agent);
    }
}

impl Record {
    fn count(&mut self, agent: &AgentView, success: bool, now: Millis, limits: &EjectionLimits) {
        if now.since(self.window) > limits.window_ms {
            self.roll(agent, now, limits);
        }
        self.total += u64::from(agent.counters().take_successes());
        if success {
            self.capped = false;
            self.streak = 0;
        } else {
            self.total += 1;
            self.failures += 1;
            self.streak += 1;
        }
    }

    /// Halves the counts, and forgives one ejection for each window that an agent worked well.
    ///
    /// Time spent ejected does not count as working well, or the pause would stop growing as soon
    /// as it is longer than a window.
    fn roll(&mut self, agent: &AgentView, now: Millis, limits: &EjectionLimits) {
        let windows = now.since(self.window) / limits.window_ms.max(1);
        let halvings = windows.min(63) as u32;
        self.total >>= halvings;
        self.failures >>= halvings;
        if self.failures == 0 && !agent.counters().is_ejected() {
            self.ejections = self.ejections.saturating_sub(halvings);
        }
        self.window = now;
    }

    const fn is_bad(&self, limits: &EjectionLimits) -> bool {
        let by_ratio = self.total >= limits.ratio_least
            && self.failures * 1000 >= limits.ratio_permille * self.total;
        self.streak >= limits.consecutive || by_ratio
    }

    fn eject(&mut self, agent: &AgentView, now: Millis, limits: &EjectionLimits) -> EjectionChange {
        self.ejections += 1;
        self.capped = false;
        (self.total, self.failures) = (0, 0);
        let probe_at = now.plus(limits.pause_ms(self.ejections));
        self.probe_at = probe_at;
        agent.counters().eject(probe_at);
        EjectionChange::Ejected { probe_at, ejections: self.ejections }
    }

    /// Says once that the agent should go: each further failure says the same, and when everything
    /// fails there are as many of them as requests.
    const fn capped(&mut self) -> EjectionChange {
        if self.capped {
            return EjectionChange::None;
        }
        self.capped = true;
        EjectionChange::Capped
    }

    /// A failure before the probe was due belongs to a request that was sent before the ejection;
    /// counted, the requests in flight at that moment would double the pause again and again.
    fn failed_again(
        &mut self,
        agent: &AgentView,
        now: Millis,
        limits: &EjectionLimits,
    ) -> EjectionChange {
        if now < self.probe_at {
            return EjectionChange::None;
        }
        self.eject(agent, now, limits)
    }

    fn succeeded(&mut self, agent: &AgentView, now: Millis) -> EjectionChange {
        if !agent.counters().is_ejected() || now < self.probe_at {
            return EjectionChange::None;
        }
        agent.counters().restore();
        self.window = now;
        EjectionChange::Restored
    }
}
