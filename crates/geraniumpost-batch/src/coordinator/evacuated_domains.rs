//! Failure domains that operators have evacuated: no task is started there.

use std::collections::BTreeMap;

use geraniumpost_schema::Name;

use super::Coordinator;
use super::minion::Minion;
use super::run::reserved_resources;
use crate::{
    EvacuationReading, Evacuations, JobSpec, Now, QueueTerms, StartPermission, StepSpec, TaskId,
};

/// What the coordinator knows about evacuated domains, and what it has done there.
#[derive(Debug, Default)]
pub(super) struct EvacuatedDomains {
    evacuations: Evacuations,
    /// Time of the last start order to each domain, on the monotonic clock.
    last_start_ms: BTreeMap<Name, u64>,
    /// Time at which the coordinator learned of each present evacuation, on the monotonic clock.
    since_ms: BTreeMap<Name, u64>,
    /// Whether the last log line said that the evacuated domains are known; `None` before the first
    /// line.
    logged_known: Option<bool>,
    dropped_starts: u64,
    held_starts: u64,
}

/// Evacuated failure domains as a coordinator knows them, for metrics.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct EvacuationStatus {
    /// Number of evacuated domains.
    pub domains: u64,
    /// Age of the latest reading in milliseconds; 0 before the first.
    pub age_ms: u64,
    /// Number of starts in this term that were given up because the domain is evacuated.
    pub dropped_starts: u64,
    /// Number of starts in this term that were held back because it was not known whether the
    /// domain is evacuated.
    pub held_starts: u64,
}

/// Whether a start order may be sent.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum StartOrderPermission {
    /// The agent may send the order to its minion before this time on the agent's clock, or at any
    /// time if `None`.
    Allowed { expires_ms: Option<u64> },
    /// The minion's failure domain is evacuated.
    Forbidden,
    /// It is not known whether the domain is evacuated.
    Unknown,
}

impl EvacuatedDomains {
    /// Returns whether a domain was evacuated as of the latest reading.
    pub(super) fn contains(&self, domain: &str) -> bool {
        self.evacuations.is_evacuated(domain)
    }
}

impl Coordinator {
    /// Sets the time after the acknowledgement of an evacuation within which the last start has to
    /// happen, in milliseconds; `None` if operators do not evacuate failure domains. With a bound,
    /// nothing is started before the first call of [`Self::handle_evacuations`].
    #[must_use]
    pub fn with_evacuation_bound_ms(mut self, bound_ms: Option<u64>) -> Self {
        self.evacuated_domains.evacuations = Evacuations::new(bound_ms);
        self
    }

    /// Handles a reading of the evacuated failure domains that was requested at `requested_ms`, on
    /// the monotonic clock.
    pub fn handle_evacuations(&mut self, reading: EvacuationReading, requested_ms: u64, now: Now) {
        let was_known = self.are_evacuations_known(now);
        let changes = self.evacuated_domains.evacuations.record(reading, requested_ms);
        for (domain, revision) in &changes.evacuated {
            self.log_evacuated(domain, *revision, now);
            self.evacuated_domains.since_ms.entry(domain.clone()).or_insert(now.steady_ms);
        }
        for domain in &changes.readmitted {
            self.log_readmitted(domain, now);
            self.evacuated_domains.since_ms.remove(domain);
        }
        if !changes.evacuated.is_empty() || !changes.readmitted.is_empty() {
            for minion in self.minions.values_mut() {
                minion.domain_evacuated = self.evacuated_domains.contains(&minion.info.domain);
            }
        }
        self.placement_due |= !was_known || !changes.readmitted.is_empty();
    }

    /// Returns the evacuated failure domains as the coordinator knows them.
    pub fn evacuation_status(&self, now: Now) -> EvacuationStatus {
        let EvacuatedDomains { evacuations, dropped_starts, held_starts, .. } =
            &self.evacuated_domains;
        EvacuationStatus {
            domains: evacuations.domains().len() as u64,
            age_ms: evacuations.age_ms(now.steady_ms).unwrap_or(0),
            dropped_starts: *dropped_starts,
            held_starts: *held_starts,
        }
    }

    /// Returns whether the evacuated failure domains are known; otherwise nothing may be started.
    #[inline]
    pub(super) fn are_evacuations_known(&self, now: Now) -> bool {
        self.evacuated_domains.evacuations.are_known(now.steady_ms)
    }

    /// Returns whether the start order of a run may be sent to its minion.
    pub(super) fn start_permission(&mut self, task: TaskId, now: Now) -> StartOrderPermission {
        let permission = self.current_start_permission(task, now);
        match permission {
            StartOrderPermission::Allowed { .. } => {}
            StartOrderPermission::Forbidden => self.evacuated_domains.dropped_starts += 1,
            StartOrderPermission::Unknown => self.evacuated_domains.held_starts += 1,
        }
        permission
    }

    fn current_start_permission(&self, task: TaskId, now: Now) -> StartOrderPermission {
        self.runs.get(&task).map_or(StartOrderPermission::Allowed { expires_ms: None }, |run| {
            self.minion_start_permission(&run.place.minion, now)
        })
    }

    /// Returns whether a start order may be sent to a minion.
    pub(super) fn minion_start_permission(&self, minion: &Name, now: Now) -> StartOrderPermission {
        let Some(minion) = self.minions.get(minion) else {
            return StartOrderPermission::Allowed { expires_ms: None };
        };
        let evacuations = &self.evacuated_domains.evacuations;
        match evacuations.permission(&minion.info.domain, now.steady_ms) {
            StartPermission::Unlimited => StartOrderPermission::Allowed { expires_ms: None },
            // A minion that is known only from job records has no known domain.
            _ if !minion.reported => StartOrderPermission::Unknown,
            StartPermission::Until(until_ms) => {
                let agent = self.agents.get(&minion.agent);
                let expires_ms = agent.and_then(|agent| agent.to_agent_clock_ms(until_ms));
                match expires_ms {
                    Some(_) => StartOrderPermission::Allowed { expires_ms },
                    None => StartOrderPermission::Unknown,
                }
            }
            StartPermission::Evacuated => StartOrderPermission::Forbidden,
            StartPermission::Unknown => StartOrderPermission::Unknown,
        }
    }

    /// Records that a start order was sent to a minion, for the log line on its domain's
    /// evacuation.
    pub(super) fn record_start_in_domain(&mut self, minion: &Name, now: Now) {
        let Some(minion) = self.minions.get(minion) else { return };
        let last_start_ms = &mut self.evacuated_domains.last_start_ms;
        match last_start_ms.get_mut(&minion.info.domain) {
            Some(at_ms) => *at_ms = now.steady_ms,
            None => {
                last_start_ms.insert(minion.info.domain.clone(), now.steady_ms);
            }
        }
    }

    /// Returns whether a new job cannot be run now, because every minion that could run one of its
    /// steps is in an evacuated failure domain.
    pub(super) fn fits_only_in_evacuated_domains(
        &self,
        spec: &JobSpec,
        terms: &QueueTerms,
        now: Now,
    ) -> bool {
        let has_evacuated = self.evacuated_domains.evacuations.domains().len() > 0;
        if !has_evacuated || !self.are_evacuations_known(now) {
            return false;
        }
        let has_no_place = |step: &StepSpec| {
            let could_run = |minion: &&Minion| could_ever_run(minion, &terms.service, step);
            let mut minions = self.minions.values().filter(could_run).peekable();
            minions.peek().is_some() && minions.all(|minion| minion.domain_evacuated)
        };
        spec.steps.iter().any(has_no_place)
    }

    /// Logs when the knowledge of evacuated domains becomes too old to permit starts, and when it
    /// is up to date again.
    pub(super) fn log_known_evacuations(&mut self, now: Now) {
        let known = self.are_evacuations_known(now);
        let evacuated = &mut self.evacuated_domains;
        if evacuated.logged_known.replace(known) == Some(known) {
            return;
        }
        let age_ms = evacuated.evacuations.age_ms(now.steady_ms);
        let age = age_ms.map_or_else(|| "none".to_owned(), |ms| ms.to_string());
        let (domains, held) = (evacuated.evacuations.domains().len(), evacuated.held_starts);
        let event = if known { "evacuations_known" } else { "evacuations_unknown" };
        self.log(format!("event={event} age_ms={age} evacuated={domains} held_starts={held}"));
    }

    fn log_evacuated(&mut self, domain: &Name, revision: u64, now: Now) {
        let (minions, runs) = self.minions_and_runs(domain);
        let last_start_ms = self.evacuated_domains.last_start_ms.get(domain);
        let last_start = last_start_ms.map_or_else(
            || "none".to_owned(),
            |at_ms| now.steady_ms.saturating_sub(*at_ms).to_string(),
        );
        let age_ms = self.evacuated_domains.evacuations.age_ms(now.steady_ms).unwrap_or(0);
        self.log(format!(
            "event=domain_evacuated domain={domain} revision={revision} age_ms={age_ms} \
             minions={minions} runs={runs} last_start_ms_ago={last_start}"
        ));
    }

    fn log_readmitted(&mut self, domain: &Name, now: Now) {
        let (minions, runs) = self.minions_and_runs(domain);
        let since_ms = self.evacuated_domains.since_ms.get(domain).copied();
        let evacuated_ms = since_ms.map_or(0, |at_ms| now.steady_ms.saturating_sub(at_ms));
        self.log(format!(
            "event=domain_readmitted domain={domain} evacuated_ms={evacuated_ms} \
             minions={minions} runs={runs}"
        ));
    }

    /// Returns how many minions a failure domain has and how many runs they have.
    fn minions_and_runs(&self, domain: &Name) -> (usize, usize) {
        let minions = self.minions.values().filter(|minion| minion.info.domain == *domain);
        minions.fold((0, 0), |(minions, runs), minion| (minions + 1, runs + minion.runs.len()))
    }
}

/// Returns whether an empty minion could run a task of a step.
fn could_ever_run(minion: &Minion, service: &Name, step: &StepSpec) -> bool {
    minion.reported
        && minion.info.service == *service
        && (step.required_label.is_empty() || minion.has_label(&step.required_label))
        && reserved_resources(step).fits(minion.info.capacity)
}
