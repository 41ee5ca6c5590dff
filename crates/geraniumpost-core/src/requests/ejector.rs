use std::collections::HashMap;

use geraniumpost_schema::Name;

use super::{AgentView, EjectionChange, EjectionLimits, ServiceView};
use crate::Millis;

/// Recent results of attempts at one incarnation of an agent, and its recent ejections.
#[derive(Debug, Clone, Copy, Default)]
struct AgentRecord {
    incarnation: u64,
    consecutive_failures: u32,
    failures: u64,
    attempts: u64,
    window_start: Millis,
    ejections: u32,
    probe_at: Millis,
    is_cap_reported: bool,
}

/// Ejects agents whose minions fail too many requests, and restores them after a successful probe.
///
/// A minion that fails every request immediately is always idle, so load balancing alone would send
/// it most of the requests. The ejector removes such an agent from routing after several
/// consecutive failures or a high share of failures, and lets one request probe it after a delay
/// that doubles with each ejection. The number of ejected agents of a service is limited: if all
/// minions fail, the requests are at fault, and ejecting all agents would cause an outage.
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
    records: HashMap<Name, AgentRecord>,
}

impl Ejector {
    /// Returns an ejector with `limits` and no recorded failures.
    pub fn new(limits: EjectionLimits) -> Self {
        Self { limits, records: HashMap::new() }
    }

    /// Records whether an attempt at `agent` succeeded.
    ///
    /// Must be called if [`super::AgentCounters::record_result`] returns true. The caller must
    /// publish a new snapshot if the result is `Ejected` or `Restored`.
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
            *record = AgentRecord {
                incarnation: agent.incarnation(),
                window_start: now,
                ..AgentRecord::default()
            };
        }
        record.count_result(agent, success, now, &limits);
        let counters = agent.counters();
        if success {
            counters.set_has_failures(record.ejections > 0 || record.failures > 0);
            return record.record_success(agent, now);
        }
        if counters.is_ejected() {
            return record.record_failure_while_ejected(agent, now, &limits);
        }
        if !record.exceeds_limits(&limits) {
            return EjectionChange::None;
        }
        let ejected = service.agents().iter().filter(|other| other.counters().is_ejected()).count();
        if ejected >= limits.max_ejected(service.agents().len()) {
            return record.report_capped();
        }
        record.eject(agent, now, &limits)
    }

    /// Removes the results of a departed agent.
    pub fn forget(&mut self, agent: &str) {
        self.records.remove(agent);
    }
}

impl AgentRecord {
    fn count_result(
        &mut self,
        agent: &AgentView,
        success: bool,
        now: Millis,
        limits: &EjectionLimits,
    ) {
        if now.since(self.window_start) > limits.window_ms {
            self.decay(agent, now, limits);
        }
        self.attempts += u64::from(agent.counters().take_successes());
        if success {
            self.is_cap_reported = false;
            self.consecutive_failures = 0;
        } else {
            self.attempts += 1;
            self.failures += 1;
            self.consecutive_failures += 1;
        }
    }

    /// Halves the counts once for each window that has passed. If no failures remain, also reduces
    /// the number of ejections by one per window.
    ///
    /// The number of ejections is not reduced while the agent is ejected. Otherwise the delay
    /// before a probe would stop growing once the delay exceeds a window.
    fn decay(&mut self, agent: &AgentView, now: Millis, limits: &EjectionLimits) {
        let windows = now.since(self.window_start) / limits.window_ms.max(1);
        let halvings = windows.min(63) as u32;
        self.attempts >>= halvings;
        self.failures >>= halvings;
        if self.failures == 0 && !agent.counters().is_ejected() {
            self.ejections = self.ejections.saturating_sub(halvings);
        }
        self.window_start = now;
    }

    const fn exceeds_limits(&self, limits: &EjectionLimits) -> bool {
        let by_failure_share = self.attempts >= limits.failure_min_attempts
            && self.failures * 1000 >= limits.failure_permille * self.attempts;
        self.consecutive_failures >= limits.consecutive_failures || by_failure_share
    }

    fn eject(&mut self, agent: &AgentView, now: Millis, limits: &EjectionLimits) -> EjectionChange {
        self.ejections += 1;
        self.is_cap_reported = false;
        (self.attempts, self.failures) = (0, 0);
        let probe_at = now.plus(limits.probe_delay_ms(self.ejections));
        self.probe_at = probe_at;
        agent.counters().eject(probe_at);
        EjectionChange::Ejected { probe_at, ejections: self.ejections }
    }

    /// Returns [`EjectionChange::Capped`] only once: if all requests fail, it would otherwise be
    /// logged for every request.
    const fn report_capped(&mut self) -> EjectionChange {
        if self.is_cap_reported {
            return EjectionChange::None;
        }
        self.is_cap_reported = true;
        EjectionChange::Capped
    }

    /// Ejects an agent again after a failed probe. Failures before the probe was due are ignored:
    /// they come from requests sent before the ejection or as a last resort. If they counted, the
    /// requests in flight at the ejection would double the delay repeatedly.
    fn record_failure_while_ejected(
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

    fn record_success(&mut self, agent: &AgentView, now: Millis) -> EjectionChange {
        if !agent.counters().is_ejected() || now < self.probe_at {
            return EjectionChange::None;
        }
        agent.counters().restore();
        self.window_start = now;
        EjectionChange::Restored
    }
}
