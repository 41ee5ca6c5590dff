use geraniumpost_schema::{Name, Priority, Resources};

use super::{Fleet, TaskView, WorkerKey, WorkerView, amounts};
use crate::Millis;

/// Cost of one eviction in milli-CPU milliseconds, so that a few large tasks are evicted rather
/// than many small ones.
const EVICTION_COST: f64 = 20_000_000.0;

/// The cheapest evictions that free enough capacity for an urgent job.
#[derive(Debug, Clone)]
pub struct Preemption {
    pub worker: WorkerKey,
    /// The tasks to evict.
    pub victims: Vec<Victim>,
    cost: f64,
}

/// A task to evict.
#[derive(Debug, Clone)]
pub struct Victim {
    pub job: Name,
    /// Work since its latest checkpoint.
    pub lost_ms: u64,
    allocated: Resources,
    cost: f64,
}

impl Preemption {
    /// Returns the cheapest preemption among the workers that pass `is_allowed`.
    ///
    /// An eviction costs the work since the latest checkpoint plus a constant for the eviction
    /// itself, so that few and recently checkpointed tasks are evicted.
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

/// Returns whether a task may be evicted for an urgent job.
pub fn is_preemptible(task: &TaskView) -> bool {
    task.evictable && task.priority != Priority::Urgent
}

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
    let mut tasks: Vec<Victim> = preemptible.map(|task| victim(now, task)).collect();
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

/// Removes the victims, most expensive first, without which the need still fits.
fn spare_unneeded(need: &Resources, free: &mut Resources, victims: &mut Vec<Victim>) {
    for index in (0..victims.len()).rev() {
        let without = amounts::minus(free, &victims[index].allocated);
        if amounts::fits(need, &without) && amounts::fits(&victims[index].allocated, free) {
            *free = without;
            victims.remove(index);
        }
    }
}

fn victim(now: Millis, task: &TaskView) -> Victim {
    let allocated = task.allocated();
    let lost_ms = now.since(task.checkpointed.max(task.started));
    let cost = lost_ms as f64 * allocated.milli_cpus as f64 + EVICTION_COST;
    Victim { job: task.job.clone(), lost_ms, allocated, cost }
}
