use geraniumpost_schema::{Name, Priority, Resources};

use super::{Fleet, TaskView, WorkerKey, WorkerView, amounts};
use crate::Millis;

/// Cost of one eviction in processor milliseconds, so that few large ones go before many small.
const EACH: f64 = 20_000_000.0;

/// The cheapest evictions that make room for an urgent job.
#[derive(Debug, Clone)]
pub struct UrgentRoom {
    /// Where.
    pub worker: WorkerKey,
    /// Who yields.
    pub victims: Vec<Victim>,
    cost: f64,
}

/// A task that yields.
#[derive(Debug, Clone)]
pub struct Victim {
    /// The job.
    pub job: Name,
    /// Work since its latest checkpoint.
    pub lost_ms: u64,
    held: Resources,
    cost: f64,
}

impl UrgentRoom {
    /// Looks for the cheapest room among workers that pass `allowed`.
    ///
    /// An eviction costs the work since the latest checkpoint plus a sum for the eviction itself,
    /// so that the fewest and most recently checkpointed tasks yield.
    pub fn find(
        now: Millis,
        need: &Resources,
        fleet: &Fleet,
        most: u32,
        allowed: impl Fn(WorkerKey) -> bool,
        spared: impl Fn(&Name) -> bool,
    ) -> Option<Self> {
        let mut best: Option<Self> = None;
        for (key, row) in fleet.rows() {
            if !row.open || !allowed(key) {
                continue;
            }
            let Some(room) = on_worker(now, need, key, fleet.view(key), &spared) else { continue };
            let cheaper = best.as_ref().is_none_or(|known| room.cost < known.cost);
            if cheaper && room.victims.len() <= most as usize {
                best = Some(room);
            }
        }
        best
    }
}

/// Returns whether a task may be made to yield to an urgent job.
pub fn may_yield(task: &TaskView) -> bool {
    task.evictable && task.priority != Priority::Urgent
}

fn on_worker(
    now: Millis,
    need: &Resources,
    key: WorkerKey,
    view: &WorkerView,
    spared: &impl Fn(&Name) -> bool,
) -> Option<UrgentRoom> {
    if !amounts::fits(need, &view.allowance()) {
        return None;
    }
    let yielding = view.tasks.iter().filter(|task| may_yield(task) && !spared(&task.job));
    let mut tasks: Vec<Victim> = yielding.map(|task| victim(now, task)).collect();
    tasks.sort_by(|a, b| a.cost.total_cmp(&b.cost));
    let mut free = view.free();
    let mut victims = Vec::new();
    for task in tasks {
        if amounts::fits(need, &free) {
            break;
        }
        free = amounts::plus(&free, &task.held);
        victims.push(task);
    }
    if !amounts::fits(need, &free) {
        return None;
    }
    spare(need, &mut free, &mut victims);
    let cost = victims.iter().map(|victim| victim.cost).sum();
    Some(UrgentRoom { worker: key, victims, cost })
}

/// Spares those, dearest first, without whom there is still room.
fn spare(need: &Resources, free: &mut Resources, victims: &mut Vec<Victim>) {
    for at in (0..victims.len()).rev() {
        let without = amounts::minus(free, &victims[at].held);
        if amounts::fits(need, &without) && amounts::fits(&victims[at].held, free) {
            *free = without;
            victims.remove(at);
        }
    }
}

fn victim(now: Millis, task: &TaskView) -> Victim {
    let held = task.allocated();
    let lost_ms = now.since(task.checkpointed.max(task.started));
    let cost = lost_ms as f64 * held.milli_cpus as f64 + EACH;
    Victim { job: task.job.clone(), lost_ms, held, cost }
}
