use std::collections::{BTreeMap, BTreeSet, HashMap, HashSet};

use geraniumpost_schema::{Document, Name};
use rand::Rng;

use super::blame::Blame;
use super::draft::{Draft, DraftRow};
use super::eviction_budget::EvictionBudget;
use super::explanations::Explanations;
use super::forecasts::Forecasts;
use super::gauge::Gauge;
use super::history::History;
use super::holds::Holds;
use super::interference_model::InterferenceModel;
use super::queue::Queue;
use super::sizes::Sizes;
use super::urgent_demand::UrgentDemand;
use super::{Decision, Fleet, PlacementPolicy, PlacementRequest, amounts};
use crate::Millis;

/// Decides what starts where, what yields and what cannot run.
///
/// # Example
///
/// ```
/// use geraniumpost_core::{Millis, placement::{Decision, Fleet, Placer, PlacementRequest, WorkerView}};
/// use geraniumpost_schema::{Document, Resources};
/// use rand::{SeedableRng, rngs::StdRng};
/// let document: Document = serde_json::from_value(serde_json::json!({
///     "customers": {"entel": {"token_sha256": "0", "quota": {}}},
///     "services": {}, "classes": {}, "domains": {}, "operators": {}
/// })).expect("a document");
/// let capacity = Resources { milli_cpus: 8000, memory_mb: 8192, accelerators: 0 };
/// let mut fleet = Fleet::default();
/// fleet.put_worker(WorkerView::new("w1", "surco", "rack-1", capacity));
/// let wish = PlacementRequest::new("study-7", "entel", "coordination", capacity);
/// let mut placer = Placer::new(&document);
/// let mut rng = StdRng::seed_from_u64(1);
/// let decisions = placer.place(Millis(0), &[wish], &fleet, &mut rng);
/// assert!(decisions[0].to_string().starts_with("start job=study-7 worker=w1"));
/// ```
#[derive(Debug, Clone)]
pub struct Placer {
    pub(super) policy: PlacementPolicy,
    pub(super) sizes: Sizes,
    pub(super) history: History,
    pub(super) model: InterferenceModel,
    pub(super) gauges: BTreeMap<Name, Gauge>,
    pub(super) measured: BTreeSet<Name>,
    pub(super) forecasts: Forecasts,
    pub(super) blame: Blame,
    pub(super) holds: Holds,
    pub(super) urgent_demand: UrgentDemand,
    pub(super) budget: EvictionBudget,
    pub(super) outgrown: BTreeSet<Name>,
    pub(super) evicting: BTreeMap<Name, Millis>,
    pub(super) speeds: HashMap<Name, u32>,
    pub(super) explanations: Explanations,
}

/// Age at which an eviction without an end is thought lost, and may be ordered again.
const EVICTION_LOST_MS: u64 = 30_000;
/// Gauges over twice the workers from which those of gone workers are dropped.
const MANY_GAUGES: usize = 64;

impl Placer {
    /// Creates a placer that has learned nothing yet.
    pub fn new(document: &Document) -> Self {
        Self {
            policy: document.into(),
            sizes: Sizes::default(),
            history: History::default(),
            model: InterferenceModel::default(),
            gauges: BTreeMap::new(),
            measured: BTreeSet::new(),
            forecasts: Forecasts::default(),
            blame: Blame::default(),
            holds: Holds::default(),
            urgent_demand: UrgentDemand::default(),
            budget: EvictionBudget::default(),
            outgrown: BTreeSet::new(),
            evicting: BTreeMap::new(),
            speeds: HashMap::new(),
            explanations: Explanations::default(),
        }
    }

    /// Takes over a newer configuration and keeps what was learned.
    ///
    /// Harm is learned in units of the target, so that a service with another target is learned
    /// anew; else batch would be held off, or let in, by the old one for minutes.
    pub fn configure(&mut self, document: &Document) {
        let policy = PlacementPolicy::from(document);
        let old = std::mem::replace(&mut self.policy, policy);
        if self.model.keep(|service| self.policy.target_us(service) == old.target_us(service)) {
            self.gauges.clear();
            self.forecasts = Forecasts::default();
        }
    }

    /// Decides on all jobs that wait, and on tasks that press on services.
    ///
    /// The decisions hold together: the caller applies each [`Decision::Start`] to the fleet by
    /// [`Fleet::add_task`] before it calls again, and a task that is evicted stays in the fleet
    /// until its agent's word that it ended.
    pub fn place<R: Rng + ?Sized>(
        &mut self,
        now: Millis,
        wishes: &[PlacementRequest],
        fleet: &Fleet,
        rng: &mut R,
    ) -> Vec<Decision> {
        self.review(now, wishes, fleet);
        let mut decisions = self.blame.review(now);
        decisions.extend(self.relieve(now, fleet));
        let mut draft = self.draft(fleet);
        draft.speed_up(&decisions, fleet);
        let rooms = self.urgent_demand.rooms(now, draft.rows.len());
        if rooms > 0 {
            draft.keep_rooms(rooms, self.urgent_demand.room());
        }
        let mut queue = Queue::new(now, wishes, fleet, &self.policy);
        while let Some(wish) = queue.pop() {
            let decided = self.decide(now, wish, fleet, &mut draft, rng);
            if matches!(decided.last(), Some(Decision::Start { .. })) {
                queue.started(&draft, fleet);
            }
            decisions.extend(decided);
        }
        for decision in &decisions {
            self.explanations.note(now, decision);
        }
        decisions
    }

    /// Returns why a job runs where it runs, or why it waits.
    pub fn explain(&self, job: &Name) -> String {
        self.explanations.text(job)
    }

    /// Forgets what concerns jobs and workers that are gone.
    fn review(&mut self, now: Millis, wishes: &[PlacementRequest], fleet: &Fleet) {
        // VMs are replaced at any time and under new names; what is known of the old
        // ones would pile up.
        if self.gauges.len() > fleet.rows().len() * 2 + MANY_GAUGES {
            let is_there = |worker: &Name| fleet.worker(worker).is_some();
            self.gauges.retain(|worker, _| is_there(worker));
            self.history.keep(is_there);
            self.blame.keep_workers(is_there);
        }
        self.evicting.retain(|_, at| now.since(*at) < EVICTION_LOST_MS);
        if self.holds.is_empty() && !self.blame.is_large() && !self.explanations.is_large() {
            return;
        }
        let waiting: HashSet<&Name> = wishes.iter().map(|wish| &wish.job).collect();
        self.holds.review(now, fleet, |job| waiting.contains(job));
        self.blame.keep(|job| waiting.contains(job));
        self.explanations.trim(now, |job| fleet.worker_of(job).is_some());
    }

    fn draft(&mut self, fleet: &Fleet) -> Draft {
        let mut draft = Draft::default();
        draft.rows.reserve(fleet.rows().len());
        for (key, row) in fleet.rows() {
            if !row.open {
                continue;
            }
            let forecast = self.forecasts.of(key, row.version, fleet, &self.model, &self.gauges);
            draft.rows.push(DraftRow {
                key,
                free: row.free,
                service: row.service,
                rack: row.rack,
                domain: row.domain,
                load: f64::from(row.load_permille) / 1000.0,
                forecast,
                limit: u32::MAX,
                held: amounts::NONE,
                spare: false,
            });
        }
        self.close(fleet, &mut draft);
        draft
    }

    /// Closes workers that are doubted or kept for a job.
    fn close(&self, fleet: &Fleet, draft: &mut Draft) {
        let mut limit = |name: &Name| {
            let key = fleet.key(name)?;
            let row = draft.rows.iter_mut().find(|row| row.key == key)?;
            row.limit = self.blame.allowance(name)?;
            Some(())
        };
        self.blame.doubted().for_each(|name| {
            limit(name);
        });
        self.holds.all().for_each(|hold| draft.hold(hold));
    }
}
