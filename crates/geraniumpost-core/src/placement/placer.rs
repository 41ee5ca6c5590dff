use std::collections::{BTreeMap, BTreeSet, HashMap, HashSet};

use geraniumpost_schema::{Document, Name};
use rand::Rng;

use super::eviction_budget::EvictionBudget;
use super::explanations::Explanations;
use super::failure_attribution::FailureAttribution;
use super::interference_model::InterferenceModel;
use super::latency_forecasts::LatencyForecasts;
use super::planned_fleet::{PlannedFleet, PlannedWorker};
use super::queue::Queue;
use super::reservations::Reservations;
use super::run_history::RunHistory;
use super::smoothed_latency::SmoothedLatency;
use super::urgent_demand::UrgentDemand;
use super::usage_estimates::UsageEstimates;
use super::{Decision, Fleet, PlacementPolicy, PlacementRequest, amounts};
use crate::Millis;

/// Decides where jobs start, which tasks are throttled or evicted, which jobs are rejected, and
/// which workers are quarantined.
///
/// # Example
///
/// ```
/// use geraniumpost_core::Millis;
/// use geraniumpost_core::placement::{Decision, Fleet, PlacementRequest, Placer, WorkerView};
/// use geraniumpost_schema::{Document, Resources};
/// use rand::{SeedableRng, rngs::StdRng};
/// let document: Document = serde_json::from_value(serde_json::json!({
///     "customers": {"entel": {"token_sha256": "0", "quota": {}}},
///     "services": {}, "classes": {}, "domains": {}, "operators": {}
/// })).expect("a document");
/// let capacity = Resources { milli_cpus: 8000, memory_mb: 8192, accelerators: 0 };
/// let mut fleet = Fleet::default();
/// fleet.put_worker(WorkerView::new("w1", "surco", "rack-1", capacity));
/// let request = PlacementRequest::new("study-7", "entel", "coordination", capacity);
/// let mut placer = Placer::new(&document);
/// let mut rng = StdRng::seed_from_u64(1);
/// let decisions = placer.place(Millis(0), &[request], &fleet, &mut rng);
/// assert!(decisions[0].to_string().starts_with("start job=study-7 worker=w1"));
/// ```
#[derive(Debug, Clone)]
pub struct Placer {
    pub(super) policy: PlacementPolicy,
    pub(super) usage_estimates: UsageEstimates,
    pub(super) history: RunHistory,
    pub(super) model: InterferenceModel,
    pub(super) latencies: BTreeMap<Name, SmoothedLatency>,
    /// Workers whose service latency was measured since the last call of `place`.
    pub(super) measured: BTreeSet<Name>,
    pub(super) forecasts: LatencyForecasts,
    pub(super) failures: FailureAttribution,
    pub(super) reservations: Reservations,
    pub(super) urgent_demand: UrgentDemand,
    pub(super) budget: EvictionBudget,
    /// Jobs that were measured to use more than they declared since the last call of `place`.
    pub(super) over_need: BTreeSet<Name>,
    /// Jobs whose eviction was ordered and not confirmed, with the time of the order.
    pub(super) evicting: BTreeMap<Name, Millis>,
    /// Reported speeds of jobs in thousandths; jobs that are not listed run at full speed.
    pub(super) speeds: HashMap<Name, u32>,
    pub(super) explanations: Explanations,
}

/// Time after an eviction order after which the task may be evicted again, if its end has not been
/// reported.
const EVICTION_TIMEOUT_MS: u64 = 30_000;
/// State of departed workers is dropped once latencies are kept for more than twice the number of
/// workers plus this number.
const EXTRA_LATENCIES_BEFORE_CLEANUP: usize = 64;

impl Placer {
    /// Creates a placer with the policy of `document` and without any measurements.
    pub fn new(document: &Document) -> Self {
        Self {
            policy: document.into(),
            usage_estimates: UsageEstimates::default(),
            history: RunHistory::default(),
            model: InterferenceModel::default(),
            latencies: BTreeMap::new(),
            measured: BTreeSet::new(),
            forecasts: LatencyForecasts::default(),
            failures: FailureAttribution::default(),
            reservations: Reservations::default(),
            urgent_demand: UrgentDemand::default(),
            budget: EvictionBudget::default(),
            over_need: BTreeSet::new(),
            evicting: BTreeMap::new(),
            speeds: HashMap::new(),
            explanations: Explanations::default(),
        }
    }

    /// Applies a newer configuration and keeps learned state.
    ///
    /// Interference is learned as a multiple of the latency target, so what was learned about a
    /// service is dropped if its target changes. Otherwise predictions by the old target would
    /// reject or admit batch work wrongly for minutes.
    pub fn configure(&mut self, document: &Document) {
        let policy = PlacementPolicy::from(document);
        let old = std::mem::replace(&mut self.policy, policy);
        if self
            .model
            .retain_services(|service| self.policy.target_us(service) == old.target_us(service))
        {
            self.latencies.clear();
            self.forecasts = LatencyForecasts::default();
        }
    }

    /// Decides on all waiting jobs, on running tasks that interfere with services, and on the
    /// quarantine of workers.
    ///
    /// Each decision takes the earlier decisions of the same call into account. The caller applies
    /// each [`Decision::Start`] to the fleet by [`Fleet::add_task`] before the next call; an
    /// evicted task stays in the fleet until its agent reports the end.
    pub fn place<R: Rng + ?Sized>(
        &mut self,
        now: Millis,
        requests: &[PlacementRequest],
        fleet: &Fleet,
        rng: &mut R,
    ) -> Vec<Decision> {
        self.forget_departed(now, requests, fleet);
        let mut decisions = self.failures.update_trust(now);
        decisions.extend(self.mitigate(now, fleet));
        let mut planned = self.plan_fleet(fleet);
        planned.apply_speed_ups(&decisions, fleet);
        let reserved_workers = self.urgent_demand.workers_to_reserve(now, planned.rows.len());
        if reserved_workers > 0 {
            planned.reserve_for_urgent(reserved_workers, self.urgent_demand.capacity_per_worker());
        }
        let mut queue = Queue::new(now, requests, fleet, &self.policy);
        while let Some(request) = queue.pop() {
            let decided = self.decide(now, request, fleet, &mut planned, rng);
            if matches!(decided.last(), Some(Decision::Start { .. })) {
                queue.record_start(&planned, fleet);
            }
            decisions.extend(decided);
        }
        for decision in &decisions {
            self.explanations.record(now, decision);
        }
        decisions
    }

    /// Returns the text of the latest decision on `job` with its time, or a text that says that
    /// there is no decision.
    pub fn explain(&self, job: &Name) -> String {
        self.explanations.text(job)
    }

    /// Drops the state of departed workers and of jobs that neither wait nor run, and evictions and
    /// reservations that have expired.
    fn forget_departed(&mut self, now: Millis, requests: &[PlacementRequest], fleet: &Fleet) {
        // VMs are replaced under new names, so the state of old VMs would accumulate.
        if self.latencies.len() > fleet.rows().len() * 2 + EXTRA_LATENCIES_BEFORE_CLEANUP {
            let is_present = |worker: &Name| fleet.worker(worker).is_some();
            self.latencies.retain(|worker, _| is_present(worker));
            self.history.retain_workers(is_present);
            self.failures.retain_workers(is_present);
        }
        self.evicting.retain(|_, at| now.since(*at) < EVICTION_TIMEOUT_MS);
        if self.reservations.is_empty()
            && !self.failures.is_large()
            && !self.explanations.needs_trim()
        {
            return;
        }
        let waiting: HashSet<&Name> = requests.iter().map(|request| &request.job).collect();
        let policy = &self.policy;
        let admits_jobs = |worker| policy.admits_jobs(fleet, worker);
        self.reservations.retain_valid(now, admits_jobs, |job| waiting.contains(job));
        self.failures.retain_jobs(|job| waiting.contains(job));
        self.explanations.trim(now, |job| fleet.worker_of(job).is_some());
    }

    /// Copies the workers that accept work, with their predicted latencies.
    fn plan_fleet(&mut self, fleet: &Fleet) -> PlannedFleet {
        let mut planned = PlannedFleet::default();
        planned.rows.reserve(fleet.rows().len());
        for (key, row) in fleet.rows() {
            if !self.policy.admits_jobs(fleet, key) {
                continue;
            }
            let forecast_p99 =
                self.forecasts.get(key, row.version, fleet, &self.model, &self.latencies);
            planned.rows.push(PlannedWorker {
                key,
                free: row.free,
                service: row.service,
                rack: row.rack,
                domain: row.domain,
                load: f64::from(row.load_permille) / 1000.0,
                forecast_p99,
                remaining_job_starts: u32::MAX,
                reserved: amounts::NONE,
                keeps_urgent_capacity: false,
            });
        }
        self.apply_limits_and_reservations(fleet, &mut planned);
        planned
    }

    /// Limits the job starts on workers that are quarantined, being probed or have recent failures
    /// of several jobs, and applies all reservations.
    fn apply_limits_and_reservations(&self, fleet: &Fleet, planned: &mut PlannedFleet) {
        let mut apply_limit = |name: &Name| {
            let key = fleet.key(name)?;
            let row = planned.rows.iter_mut().find(|row| row.key == key)?;
            row.remaining_job_starts = self.failures.remaining_job_starts(name)?;
            Some(())
        };
        self.failures.limited_workers().for_each(|name| {
            apply_limit(name);
        });
        self.reservations.all().for_each(|reservation| planned.reserve(reservation));
    }
}
