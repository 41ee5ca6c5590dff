//! Headroom: how much additional utilization the serving tasks of each minion tolerate from
//! best-effort tasks.

use geraniumpost_schema::Name;

use super::Coordinator;
use super::group_headroom::GroupHeadroom;
use super::minion::Minion;
use super::run::reserved_resources;
use crate::interference::{FullSpeedLoad, ServingGroup, speed_limits};
use crate::tuning::MAX_SERVING_TAIL_LATENCY_RATIO;
use crate::{StepSpec, TaskId};

/// Lower bound of the headroom in a division, as a utilization: headroom may be zero or negative.
const MIN_HEADROOM_DIVISOR: f64 = 0.01;

/// Expected speed of a best-effort task on a minion, and its effect on the headroom of serving
/// tasks.
#[derive(Debug, Clone, Copy)]
pub(super) struct BestEffortSpeed {
    /// Fraction of full speed, from 0 to 1, that unused processors allow.
    pub(super) speed_on_unused_cpus: f64,
    /// Fraction of full speed, from 0 to 1, that serving tasks tolerate.
    pub(super) tolerated_speed: f64,
    /// Largest fraction, from 0 to 1, of any group's headroom that the task would use.
    pub(super) headroom_share: f64,
    /// Largest fraction, from 0 to 1, of any serving step's disturbance budget that is in use; 0
    /// without [`Feature::DisturbanceBudget`](crate::Feature::DisturbanceBudget).
    pub(super) budget_share: f64,
}

impl Coordinator {
    /// Returns the headroom that each group of serving tasks on a minion would have without any
    /// best-effort tasks.
    pub(super) fn base_headroom(&self, minion: &Minion) -> Vec<GroupHeadroom> {
        let mut last = None;
        let mut headroom = Vec::new();
        for task in &minion.runs {
            // Tasks of a step are adjacent.
            let step = TaskId { index: 0, ..*task };
            if last.replace(step) == Some(step) {
                continue;
            }
            let Some(spec) = self.step_spec(*task).filter(|spec| spec.is_serving()) else {
                continue;
            };
            let group = ServingGroup::of(*task, &minion.info.id);
            let limit =
                self.interference.utilization_at(&spec.image, MAX_SERVING_TAIL_LATENCY_RATIO);
            let utilization = limit - self.interference.user_utilization(&spec.image, &group);
            headroom.push(GroupHeadroom { step, image: spec.image.clone(), utilization });
        }
        headroom
    }

    /// Updates the headroom that a minion's best-effort tasks leave at their current paces. The
    /// headroom is cached because placements read it many times.
    pub(super) fn refresh_headroom(&mut self, id: &Name) {
        let Some(minion) = self.minions.get(id) else { return };
        let mut headroom = self.base_headroom(minion);
        for group in &mut headroom {
            let added = |(image, tasks): (&Name, &super::best_effort_tasks::BestEffortTasks)| {
                let share = minion.cpu_share(tasks.milli_cpus_at(tasks.expected_pace_percent()));
                self.interference.added_utilization(&group.image, image, share)
            };
            group.utilization -= minion.best_effort_images.iter().map(added).sum::<f64>();
        }
        if let Some(minion) = self.minions.get_mut(id) {
            minion.headroom = headroom;
        }
    }

    /// Estimates how fast a best-effort task would run on a minion, from unused processors and
    /// learned interference.
    pub(super) fn best_effort_speed(&self, minion: &Minion, spec: &StepSpec) -> BestEffortSpeed {
        let milli_cpus = spec.demand.milli_cpus;
        let unused = minion.unused_milli_cpus().max(0) as f64;
        let wanted = (minion.best_effort_milli_cpus + milli_cpus).max(1) as f64;
        let share = minion.cpu_share(milli_cpus as f64);
        let speed_on_unused_cpus = (unused / wanted).min(1.0);
        let mut speed = BestEffortSpeed {
            speed_on_unused_cpus,
            tolerated_speed: 1.0,
            headroom_share: 0.0,
            budget_share: 0.0,
        };
        for group in &minion.headroom {
            let added = self.added_at_placement(minion, group, &spec.image, share);
            if added > group.utilization {
                speed.tolerated_speed =
                    speed.tolerated_speed.min((group.utilization / added).max(0.0));
            }
            speed.headroom_share = speed
                .headroom_share
                .max((added / group.utilization.max(MIN_HEADROOM_DIVISOR)).min(1.0));
            speed.budget_share = speed.budget_share.max(self.budget_share(group.step));
        }
        speed
    }

    /// Returns the pace, in percent, that serving tasks on a minion tolerate from each best-effort
    /// image.
    pub(super) fn tolerated_paces(&self, minion: &Minion) -> Vec<(Name, u8)> {
        let headroom = self.base_headroom(minion);
        let limits: Vec<f64> = headroom.iter().map(|group| group.utilization).collect();
        let load = |(image, tasks): (&Name, &super::best_effort_tasks::BestEffortTasks)| {
            let milli_cpus = tasks.milli_cpus_at(100);
            let share = minion.cpu_share(milli_cpus);
            let added = headroom
                .iter()
                .map(|group| self.interference.added_utilization(&group.image, image, share));
            FullSpeedLoad { milli_cpus, added_utilization: added.collect() }
        };
        let loads: Vec<FullSpeedLoad> = minion.best_effort_images.iter().map(load).collect();
        let shares = speed_limits(&limits, &loads);
        let paces = shares.into_iter().map(|share| (share * 100.0) as u8);
        minion.best_effort_images.keys().cloned().zip(paces).collect()
    }

    /// Adds a run to its minion's resources of persistent runs and counts of serving or best-effort
    /// runs by image, or removes the run from these.
    pub(super) fn update_run_counts(&mut self, task: TaskId, id: &Name, added: bool) {
        let Some(step) = self.step_spec(task).cloned() else { return };
        let Some(minion) = self.minions.get_mut(id) else { return };
        let change = if added { 1 } else { -1 };
        if step.persistent {
            let reserved = reserved_resources(&step);
            if added {
                minion.persistent_reserved += reserved;
            } else {
                minion.persistent_reserved -= reserved;
            }
        }
        if step.best_effort {
            let tasks = minion.best_effort_images.entry(step.image.clone()).or_default();
            tasks.run_count += change;
            tasks.milli_cpus += i64::from(change) * step.demand.milli_cpus;
            if tasks.run_count <= 0 {
                minion.best_effort_images.remove(&step.image);
            }
        } else if step.is_serving() {
            let serving = minion.serving_images.entry(step.image.clone()).or_default();
            serving.run_count = serving.run_count.saturating_add_signed(change);
            if serving.run_count == 0 {
                minion.serving_images.remove(&step.image);
            }
        } else {
            return;
        }
        self.refresh_headroom(id);
    }
}
