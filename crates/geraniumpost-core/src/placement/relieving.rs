use std::collections::BTreeSet;

use geraniumpost_schema::{Name, Priority, Resources};

use super::pressure::Pressure;
use super::task_view::FULL_SPEED;
use super::{Decision, Fleet, Placer, Reason, Resource, TaskView, WorkerView, amounts};
use crate::Millis;

/// Share of the eviction budget that pressed services may use; the rest is for urgent jobs.
const SHARE_FOR_SERVICES: u32 = 2;

impl Placer {
    /// Slows, evicts or speeds up tasks beside services, and where tasks outgrew their VM.
    pub(super) fn relieve(&mut self, now: Millis, fleet: &Fleet) -> Vec<Decision> {
        let mut decisions = Vec::new();
        for worker in std::mem::take(&mut self.measured) {
            let (Some(view), Some(gauge)) = (fleet.worker(&worker), self.gauges.get(&worker))
            else {
                continue;
            };
            let pressure = Pressure { now, view, gauge, model: &self.model };
            let slowed = pressure.relieve().or_else(|| pressure.lift());
            let evicted = if slowed.is_none() { pressure.evict() } else { None };
            let Some(decision) = slowed.or(evicted) else { continue };
            if self.permit(now, &decision) {
                if let Some(gauge) = self.gauges.get_mut(&view.name) {
                    gauge.acted = now;
                }
                decisions.push(decision);
            }
        }
        decisions.extend(self.shrink(now, fleet));
        decisions
    }

    /// Acts on VMs whose tasks use more than is theirs, one task each.
    fn shrink(&mut self, now: Millis, fleet: &Fleet) -> Vec<Decision> {
        let outgrown = std::mem::take(&mut self.outgrown);
        let mut seen: BTreeSet<Name> = BTreeSet::new();
        let mut decisions = Vec::new();
        for job in outgrown {
            let Some(view) = fleet.worker_of(&job) else { continue };
            if !seen.insert(view.name.clone()) {
                continue;
            }
            let Some(decision) = overfull(view) else { continue };
            if self.permit(now, &decision) {
                decisions.push(decision);
            }
        }
        decisions
    }

    /// Returns whether a decision may go out, and notes an eviction that does.
    fn permit(&mut self, now: Millis, decision: &Decision) -> bool {
        let Decision::Evict { job, .. } = decision else { return true };
        let per_minute = self.policy.evictions_per_minute();
        let kept = per_minute - per_minute / SHARE_FOR_SERVICES;
        if self.evicting.contains_key(job) || self.budget.left(now, per_minute) <= kept {
            return false;
        }
        self.note_eviction(now, job);
        true
    }

    pub(super) fn note_eviction(&mut self, now: Millis, job: &Name) {
        self.evicting.insert(job.clone(), now);
        self.budget.spend(now);
    }
}

/// Slows or evicts the task that outgrew its size most, if a VM's tasks use more than is theirs.
///
/// Memory cannot be throttled: left alone, the kernel kills a task and its work since the
/// checkpoint is lost.
fn overfull(view: &WorkerView) -> Option<Decision> {
    let allowed = allowed(view);
    let none = amounts::NONE;
    let used = view.tasks.iter().fold(none, |sum, task| amounts::plus(&sum, &task.usage));
    let resource = amounts::exceeded_resource(&used, &allowed)?;
    let reason =
        Reason::Outgrown { resource, used: resource.of(&used), allowed: resource.of(&allowed) };
    let over = |task: &TaskView| over(resource, &task.usage, &task.need);
    let batch = view.tasks.iter().filter(|task| task.priority != Priority::Urgent);
    let (job, worker) = (|task: &TaskView| task.job.clone(), view.name.clone());
    if resource == Resource::Processors {
        let task = batch.filter(|task| task.permille == FULL_SPEED).max_by_key(|t| over(t))?;
        let permille = FULL_SPEED / 2;
        return Some(Decision::Throttle { job: job(task), worker, permille, reason });
    }
    let task = batch.filter(|task| task.evictable).max_by_key(|task| over(task))?;
    Some(Decision::Evict { job: job(task), worker, for_job: Name::default(), reason })
}

/// Returns what a VM's tasks may use now: of the service's processors also those that it leaves
/// idle, as batch gives them back by being slowed.
fn allowed(view: &WorkerView) -> Resources {
    let taken = view.reserve.milli_cpus * u64::from(view.load_permille.min(1000)) / 1000;
    let milli_cpus = view.capacity.milli_cpus.saturating_sub(taken);
    Resources { milli_cpus, ..view.allowance() }
}

fn over(resource: Resource, usage: &Resources, need: &Resources) -> u64 {
    resource.of(usage).saturating_sub(resource.of(need))
}
