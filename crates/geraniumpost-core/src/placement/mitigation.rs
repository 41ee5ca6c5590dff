use std::collections::BTreeSet;

use geraniumpost_schema::{Name, Priority, Resources};

use super::latency_control::LatencyControl;
use super::task_view::FULL_SPEED;
use super::{Decision, Fleet, Placer, Reason, Resource, TaskView, WorkerView, amounts};
use crate::Millis;

/// The eviction budget divided by this number is the part for protecting services and VMs; the rest
/// is reserved for urgent jobs.
const PROTECTION_SHARE_DIVISOR: u32 = 2;

impl Placer {
    /// Throttles, speeds up or evicts tasks on workers whose service latency was measured since the
    /// last call. Throttles or evicts tasks on VMs where a task was measured above its need since
    /// the last call and the tasks together use more than is available to them.
    pub(super) fn mitigate(&mut self, now: Millis, fleet: &Fleet) -> Vec<Decision> {
        let mut decisions = Vec::new();
        for worker in std::mem::take(&mut self.measured) {
            let (Some(view), Some(latency)) = (fleet.worker(&worker), self.latencies.get(&worker))
            else {
                continue;
            };
            let control = LatencyControl { now, view, latency, model: &self.model };
            let throttled = control.throttle_if_high().or_else(|| control.speed_up_if_low());
            let evicted = if throttled.is_none() { control.evict_if_high() } else { None };
            let Some(decision) = throttled.or(evicted) else { continue };
            if self.admit(now, &decision) {
                if let Some(latency) = self.latencies.get_mut(&view.name) {
                    latency.last_action = now;
                }
                decisions.push(decision);
            }
        }
        decisions.extend(self.mitigate_overuse(now, fleet));
        decisions
    }

    /// Throttles or evicts one task on each VM where a task was measured above its need and the
    /// tasks together use more than the [`current_allowance`].
    fn mitigate_overuse(&mut self, now: Millis, fleet: &Fleet) -> Vec<Decision> {
        let over_need = std::mem::take(&mut self.over_need);
        let mut visited: BTreeSet<Name> = BTreeSet::new();
        let mut decisions = Vec::new();
        for job in over_need {
            let Some(view) = fleet.worker_of(&job) else { continue };
            if !visited.insert(view.name.clone()) {
                continue;
            }
            let Some(decision) = overuse_decision(view) else { continue };
            if self.admit(now, &decision) {
                decisions.push(decision);
            }
        }
        decisions
    }

    /// Returns whether a decision may be carried out, and counts an eviction against the budget. An
    /// eviction may not be carried out if the task's eviction was ordered already or the budget's
    /// part for services and VMs is used up.
    fn admit(&mut self, now: Millis, decision: &Decision) -> bool {
        let Decision::Evict { job, .. } = decision else { return true };
        let per_minute = self.policy.evictions_per_minute();
        let reserved = per_minute - per_minute / PROTECTION_SHARE_DIVISOR;
        if self.evicting.contains_key(job) || self.budget.remaining(now, per_minute) <= reserved {
            return false;
        }
        self.record_eviction(now, job);
        true
    }

    pub(super) fn record_eviction(&mut self, now: Millis, job: &Name) {
        self.evicting.insert(job.clone(), now);
        self.budget.spend(now);
    }
}

/// If a VM's tasks together use more than they may, throttles or evicts the task that most exceeds
/// its declared need: a task at full speed is throttled if processors are overused, otherwise an
/// evictable task is evicted. Urgent tasks are exempt.
///
/// Memory use cannot be throttled. Without an eviction the kernel would kill a task, and its work
/// since the latest checkpoint would be lost.
fn overuse_decision(view: &WorkerView) -> Option<Decision> {
    let allowed = current_allowance(view);
    let none = amounts::NONE;
    let used = view.tasks.iter().fold(none, |sum, task| amounts::plus(&sum, &task.usage));
    let resource = amounts::exceeded_resource(&used, &allowed)?;
    let reason = Reason::OverAllowance {
        resource,
        used: resource.of(&used),
        allowed: resource.of(&allowed),
    };
    let overuse_of = |task: &TaskView| overuse(resource, &task.usage, &task.need);
    let batch = view.tasks.iter().filter(|task| task.priority != Priority::Urgent);
    let (job, worker) = (|task: &TaskView| task.job.clone(), view.name.clone());
    if resource == Resource::Processors {
        let task =
            batch.filter(|task| task.permille == FULL_SPEED).max_by_key(|t| overuse_of(t))?;
        let permille = FULL_SPEED / 2;
        return Some(Decision::Throttle { job: job(task), worker, permille, reason });
    }
    let task = batch.filter(|task| task.evictable).max_by_key(|task| overuse_of(task))?;
    Some(Decision::Evict { job: job(task), worker, for_job: Name::default(), reason })
}

/// Returns the resources that a VM's tasks may use now, including processors that are reserved for
/// the service but idle: tasks can be throttled when the service needs these processors.
fn current_allowance(view: &WorkerView) -> Resources {
    let used_by_service = view.reserve.milli_cpus * u64::from(view.load_permille.min(1000)) / 1000;
    let milli_cpus = view.capacity.milli_cpus.saturating_sub(used_by_service);
    Resources { milli_cpus, ..view.allowance() }
}

fn overuse(resource: Resource, usage: &Resources, need: &Resources) -> u64 {
    resource.of(usage).saturating_sub(resource.of(need))
}
