//! Division of capacity between the queues that compete for it.

use std::collections::{BTreeMap, VecDeque};

use geraniumpost_schema::Name;

use super::Coordinator;
use super::job::{Job, ready_steps};
use super::placement::{Rank, due_ms, lateness, remaining_work};
use crate::shares::{QueueUsage, QueueWeights, dominant_share};
use crate::{Demand, Feature, JobId, Now, TaskId};

/// Number of tasks that a queue places before the usage of all queues is compared again. Fewer
/// would divide more evenly, but each comparison lists the waiting tasks of a job.
const TASKS_PER_TURN: usize = 4;

/// Shares of queues, and the jobs that go ahead of them.
#[derive(Debug, Default)]
pub(super) struct Shares {
    weights: QueueWeights,
    usage: QueueUsage,
    /// The job of each queue that goes ahead of the others of its priority.
    ahead: BTreeMap<Name, JobId>,
}

impl Coordinator {
    /// Sets the weights of queues. They apply to all jobs, including those accepted earlier.
    pub fn set_queue_weights(&mut self, weights: QueueWeights) {
        self.shares.weights = weights;
        self.placement_due = true;
    }

    /// Returns the fraction of its service's capacity that each queue with a weight holds.
    pub fn queue_shares(&self) -> Vec<(Name, f64)> {
        let queues = self.shares.weights.queues();
        queues.map(|queue| (queue.clone(), self.shares.usage.held(queue))).collect()
    }

    /// Returns whether capacity is divided by the weights of queues.
    pub(super) fn divides_by_weights(&self) -> bool {
        self.features.contains(Feature::Shares) && !self.shares.weights.is_empty()
    }

    pub(super) fn is_ahead(&self, id: JobId) -> bool {
        let queue = self.jobs.get(&id).map(|job| &job.record.terms.queue);
        queue.is_some_and(|queue| self.shares.ahead.get(queue) == Some(&id))
    }

    /// Determines which jobs go ahead of the others of their priority: of each queue the largest
    /// job that has waited for half of the time that it can wait and still end in time.
    ///
    /// With the least remaining work first, a large job would wait as long as small ones arrive.
    /// One job of a queue at a time goes ahead, until it is placed or late: if all that have waited
    /// long did, all would be late together under overload.
    pub(super) fn update_jobs_ahead(&mut self, now: Now) {
        if !self.features.contains(Feature::Shares) {
            return;
        }
        let before = std::mem::take(&mut self.shares.ahead);
        let mut largest: BTreeMap<&Name, (bool, u64, JobId)> = BTreeMap::new();
        for id in &self.open_jobs {
            let Some(job) = self.jobs.get(id).filter(|job| has_waited_long(job, now)) else {
                continue;
            };
            let queue = &job.record.terms.queue;
            let was_ahead = before.get(queue) == Some(id);
            let candidate = (was_ahead, remaining_work(&job.record), *id);
            let entry = largest.entry(queue).or_insert(candidate);
            *entry = candidate.max(*entry);
        }
        let ahead: BTreeMap<Name, JobId> =
            largest.into_iter().map(|(queue, (_, _, id))| (queue.clone(), id)).collect();
        for (queue, id) in &ahead {
            if before.get(queue) != Some(id) {
                self.log(format!("decision=go_ahead job={id} queue={queue}"));
            }
        }
        self.shares.ahead = ahead;
    }

    /// Places waiting tasks of jobs in the order of their ranks. Among jobs whose ranks differ only
    /// in size, the queue with the least usage in relation to its weight is always next.
    pub(super) fn place_by_shares(&mut self, order: &[(Rank, JobId)], now: Now) {
        let capacities = self.service_capacities();
        self.record_queue_usage(&capacities, now);
        for class in order.chunk_by(|(rank, _), (next, _)| rank.shares_with(next)) {
            let mut queues: BTreeMap<Name, VecDeque<JobId>> = BTreeMap::new();
            for (_, id) in class {
                let Some(job) = self.jobs.get(id) else { continue };
                queues.entry(job.record.terms.queue.clone()).or_default().push_back(*id);
            }
            while let Some(queue) = self.next_queue(&queues) {
                let Some(id) = queues.get_mut(&queue).and_then(VecDeque::pop_front) else {
                    queues.remove(&queue);
                    continue;
                };
                let before = self.job_share(id, &capacities);
                let placed = self.place_job(id, TASKS_PER_TURN, now);
                let after = self.job_share(id, &capacities);
                self.shares.usage.charge(&queue, after - before);
                if placed >= TASKS_PER_TURN
                    && let Some(jobs) = queues.get_mut(&queue)
                {
                    jobs.push_front(id);
                }
            }
        }
    }

    fn next_queue(&self, queues: &BTreeMap<Name, VecDeque<JobId>>) -> Option<Name> {
        let Shares { usage, weights, .. } = &self.shares;
        let weighted = |queue: &Name| usage.weighted(queue, weights);
        queues.keys().min_by(|a, b| weighted(a).total_cmp(&weighted(b))).cloned()
    }

    fn service_capacities(&self) -> BTreeMap<Name, Demand> {
        let mut capacities: BTreeMap<Name, Demand> = BTreeMap::new();
        for minion in self.minions.values().filter(|minion| minion.reported) {
            *capacities.entry(minion.info.service.clone()).or_default() += minion.info.capacity;
        }
        capacities
    }

    fn record_queue_usage(&mut self, capacities: &BTreeMap<Name, Demand>, now: Now) {
        let mut used: BTreeMap<(&Name, &Name), Demand> = BTreeMap::new();
        for task in self.runs.keys() {
            let Some(job) = self.jobs.get(&task.job) else { continue };
            let terms = &job.record.terms;
            *used.entry((&terms.queue, &terms.service)).or_default() += self.used_resources(*task);
        }
        let mut held: BTreeMap<Name, f64> = BTreeMap::new();
        for ((queue, service), used) in used {
            let capacity = capacities.get(service).copied().unwrap_or_default();
            *held.entry(queue.clone()).or_default() += dominant_share(used, capacity);
        }
        self.shares.usage.record(held, now.steady_ms);
    }

    /// Returns the share of its service's capacity that the runs of a job use.
    fn job_share(&self, id: JobId, capacities: &BTreeMap<Name, Demand>) -> f64 {
        let Some(job) = self.jobs.get(&id) else { return 0.0 };
        let capacity = capacities.get(&job.record.terms.service).copied().unwrap_or_default();
        let tasks = self.tasks_with_runs(id);
        let used = tasks
            .into_iter()
            .fold(Demand::default(), |used, task| used + self.used_resources(task));
        dominant_share(used, capacity)
    }

    /// Returns what a run uses: also the processors of a best-effort run, which reserves none.
    fn used_resources(&self, task: TaskId) -> Demand {
        let Some(run) = self.runs.get(&task) else { return Demand::default() };
        let milli_cpus = run.reserved.milli_cpus + run.best_effort_milli_cpus;
        Demand { milli_cpus, ..run.reserved }
    }
}

/// Returns whether a job that ends has waiting tasks and can still be in time, but has used up half
/// of the time by which its steps may be delayed altogether.
fn has_waited_long(job: &Job, now: Now) -> bool {
    if job.record.spec.is_persistent() || lateness(job, now) > 0 {
        return false;
    }
    let objective_ms = job.record.terms.objective_ms(job.critical_path_ms);
    let delay_ms = objective_ms.saturating_sub(job.critical_path_ms);
    let age_ms = now.wall_ms.saturating_sub(due_ms(job));
    let latest_ms = objective_ms.saturating_sub(remaining_path_ms(job));
    age_ms + delay_ms / 2 >= latest_ms && !ready_steps(&job.record).is_empty()
}

/// Returns the estimated duration in milliseconds of the longest chain of steps that are not done.
pub(super) fn remaining_path_ms(job: &Job) -> u64 {
    let Some(occurrence) = job.record.occurrences.first() else { return job.critical_path_ms };
    job.record.spec.longest_chain_ms(|step| !occurrence.is_step_done(step))
}
