use geraniumpost_schema::{Name, Priority, Resources};

use super::{Fleet, TaskView, WorkerKey, WorkerView, amounts};
use crate::Millis;

/// Fixed cost of one eviction, in thousandths of a processor times milliseconds, so that a few
/// large tasks are evicted rather than many small tasks.
const EVICTION_COST: f64 = 20_000_000.0;

/// Evictions on one worker that free enough capacity for an urgent job.
#[derive(Debug, Clone)]
pub struct Preemption {
    pub worker: WorkerKey,
    /// The tasks to evict; empty if there is enough free capacity already.
    pub victims: Vec<Victim>,
    cost: f64,
}

/// A task that may be evicted for an urgent job.
#[derive(Debug, Clone)]
pub struct Victim {
    pub job: Name,
    /// Run time since its latest checkpoint, which an eviction loses.
    pub lost_ms: u64,
    allocated: Resources,
    cost: f64,
}

impl Preemption {
    /// Returns the cheapest preemption found, with at most `max_evictions` evictions, on a worker
    /// that accepts work and for which `is_allowed` holds. Jobs for which `is_excluded` holds are
    /// not evicted.
    ///
    /// An eviction costs the work since the latest checkpoint plus [`EVICTION_COST`], so that few
    /// tasks are evicted, preferably tasks with a recent checkpoint.
    pub fn find(
        now: Millis,
        need: &Resources,
        fleet: &Fleet,
        max_evictions: u32,
        is_allowed: impl Fn(WorkerKey) -> bool,
        is_excluded: impl Fn(&Name) -> bool,
    ) -> Option<Self> {
        let mut best: Option<Self> = None;
        for (key, row) in fleet.rows() {
            if !row.accepts_work || !is_allowed(key) {
                continue;
            }
            let Some(preemption) = preemption_on(now, need, key, fleet.view(key), &is_excluded)
            else {
                continue;
            };
            let cheaper = best.as_ref().is_none_or(|found| preemption.cost < found.cost);
            if cheaper && preemption.victims.len() <= max_evictions as usize {
                best = Some(preemption);
            }
        }
        best
    }
}

/// Returns whether a task may be evicted for an urgent job: the task must be evictable and not
/// urgent itself.
pub fn is_preemptible(task: &TaskView) -> bool {
    task.evictable && task.priority != Priority::Urgent
}

/// Returns a cheap set of evictions, chosen greedily, that makes `need` fit on a worker, or `None`
/// if no set does.
fn preemption_on(
    now: Millis,
    need: &Resources,
    key: WorkerKey,
    view: &WorkerView,
    is_excluded: &impl Fn(&Name) -> bool,
) -> Option<Preemption> {
    if !amounts::fits(need, &view.allowance()) {
        return None;
    }
    let preemptible =
        view.tasks.iter().filter(|task| is_preemptible(task) && !is_excluded(&task.job));
    let mut tasks: Vec<Victim> = preemptible.map(|task| new_victim(now, task)).collect();
    tasks.sort_by(|a, b| a.cost.total_cmp(&b.cost));
    let mut free = view.free();
    let mut victims = Vec::new();
    for task in tasks {
        if amounts::fits(need, &free) {
            break;
        }
        free = amounts::plus(&free, &task.allocated);
        victims.push(task);
    }
    if !amounts::fits(need, &free) {
        return None;
    }
    spare_unneeded(need, &mut free, &mut victims);
    let cost = victims.iter().map(|victim| victim.cost).sum();
    Some(Preemption { worker: key, victims, cost })
}

/// Removes victims that need not be evicted for `need` to fit, starting with the most expensive.
fn spare_unneeded(need: &Resources, free: &mut Resources, victims: &mut Vec<Victim>) {
    for index in (0..victims.len()).rev() {
        let without = amounts::minus(free, &victims[index].allocated);
        if amounts::fits(need, &without) && amounts::fits(&victims[index].allocated, free) {
            *free = without;
            victims.remove(index);
        }
    }
}

fn new_victim(now: Millis, task: &TaskView) -> Victim {
    let allocated = task.allocated();
    let lost_ms = now.since(task.checkpointed.max(task.started));
    let cost = lost_ms as f64 * allocated.milli_cpus as f64 + EVICTION_COST;
    Victim { job: task.job.clone(), lost_ms, allocated, cost }
}
