//! The budget of disturbance for each serving step, over all minions
//! ([`Feature::DisturbanceBudget`]).

use geraniumpost_schema::Name;

use super::Coordinator;
use super::group_headroom::GroupHeadroom;
use super::minion::Minion;
use crate::disturbance::{
    BudgetChange, DisturbanceCounts, DisturbanceStatus, PaceRamp, Trial, disturbance_budget,
};
use crate::{Feature, Now, TaskId};

/// Deviation of a slope above which the pair of images is uncertain; below, the slope is known well
/// enough that further measurements hardly change decisions.
const UNCERTAIN_SLOPE_DEVIATION: f64 = 0.25;

impl Coordinator {
    fn bounds_disturbance(&self) -> bool {
        self.features.contains(Feature::DisturbanceBudget)
    }

    /// Returns figures on the disturbance of serving steps, for metrics.
    pub fn disturbance_status(&self) -> DisturbanceStatus {
        self.disturbance.status()
    }

    /// Returns the utilization that a best-effort image would add to a serving group. The estimate
    /// includes the slope's deviation if the step's budget is used up, or if the pair is uncertain
    /// and on trial on another minion.
    pub(super) fn added_at_placement(
        &self,
        minion: &Minion,
        group: &GroupHeadroom,
        image: &Name,
        share: f64,
    ) -> f64 {
        let slope = self.interference.slope(&group.image, image);
        if !self.bounds_disturbance() {
            return slope.mean * share;
        }
        let is_tried_elsewhere = || {
            let trial = self.disturbance.trial(group.step);
            slope.deviation > UNCERTAIN_SLOPE_DEVIATION
                && trial.is_some_and(|trial| trial.minion != minion.info.id)
        };
        let cautious = self.disturbance.is_budget_used_up(group.step) || is_tried_elsewhere();
        (slope.mean + if cautious { slope.deviation } else { 0.0 }) * share
    }

    /// Returns the fraction of a step's budget that is in use, from 0 to 1.
    pub(super) fn budget_share(&self, step: TaskId) -> f64 {
        if !self.bounds_disturbance() {
            return 0.0;
        }
        let Some(spec) = self.step_spec(step) else { return 0.0 };
        let disturbed = f64::from(self.disturbance.disturbed(step));
        (disturbed / f64::from(disturbance_budget(spec))).min(1.0)
    }

    /// Limits the pace of a best-effort image that has just come to a minion, if it may slow
    /// serving tasks there that it is not known with. If no trial of the pair is in progress, this
    /// begins one beside each serving step in question.
    pub(super) fn limit_first_pace(&mut self, task: TaskId, id: &Name, now: Now) {
        if !self.bounds_disturbance() {
            return;
        }
        let Some(image) = self.step_spec(task).filter(|s| s.best_effort).map(|s| s.image.clone())
        else {
            return;
        };
        let steps = self.uncertain_steps(id, &image);
        let Some(minion) = self.minions.get_mut(id) else { return };
        let Some(tasks) = minion.best_effort_images.get_mut(&image) else { return };
        if steps.is_empty() || tasks.run_count > 1 {
            return;
        }
        tasks.ramp = PaceRamp::FIRST;
        let percent = tasks.ramp.limit_percent();
        tasks.pace_percent = tasks.pace_percent.min(percent);
        self.refresh_headroom(id);
        for step in steps {
            let trial = Trial { minion: id.clone(), image: image.clone(), since_ms: now.steady_ms };
            if self.disturbance.begin_trial(step, trial) {
                self.log(format!(
                    "decision=trial minion={id} image={image} step={step} pace={percent}"
                ));
            }
        }
    }

    /// Returns the serving steps on a minion for which an image's slope is uncertain and the image,
    /// at full speed and at its mean slope plus deviation, would use up the headroom.
    fn uncertain_steps(&self, id: &Name, image: &Name) -> Vec<TaskId> {
        let Some(minion) = self.minions.get(id) else { return Vec::new() };
        let Some(tasks) = minion.best_effort_images.get(image) else { return Vec::new() };
        let share = minion.cpu_share(tasks.milli_cpus_at(100));
        let is_uncertain = |group: &&GroupHeadroom| {
            let slope = self.interference.slope(&group.image, image);
            // The headroom that is left already lacks the mean effect of the image.
            slope.deviation > UNCERTAIN_SLOPE_DEVIATION
                && slope.deviation * share > group.utilization
        };
        minion.headroom.iter().filter(is_uncertain).map(|group| group.step).collect()
    }

    /// Returns the pace that a start order carries: the pace of the run's image on its minion if
    /// that is below full speed.
    pub(super) fn first_pace(&self, task: TaskId) -> Option<u8> {
        if !self.bounds_disturbance() {
            return None;
        }
        let image = &self.step_spec(task).filter(|spec| spec.best_effort)?.image;
        let minion = self.minions.get(&self.runs.get(&task)?.place.minion)?;
        let percent = minion.best_effort_images.get(image)?.pace_percent;
        (percent < 100).then_some(percent)
    }

    /// Updates the ledger with the last poll of a minion. Lowers the limits of the most harmful
    /// images beside a step that is over its budget, on all minions when the excess begins, and
    /// raises the other limits.
    pub(super) fn update_disturbance(&mut self, id: &Name, now: Now) {
        if !self.bounds_disturbance() {
            return;
        }
        self.end_known_trials(id, now);
        let mut relieved = false;
        for (step, budget, counts) in self.count_disturbed(id) {
            let change = self.disturbance.update(step, budget, id, counts, now.steady_ms);
            self.log_budget_change(step, change);
            if counts.over > 0 && self.disturbance.is_over_budget(step) {
                self.relieve(id, step);
                relieved = true;
            }
            if change == BudgetChange::Exceeded {
                self.relieve_other_minions(id, step, now);
            }
        }
        if !relieved {
            self.raise_limits(id);
        }
    }

    /// Counts the disturbed tasks of each serving step on a minion, with the step's budget.
    fn count_disturbed(&self, id: &Name) -> Vec<(TaskId, u32, DisturbanceCounts)> {
        let Some(minion) = self.minions.get(id) else { return Vec::new() };
        let is_alone = minion.best_effort_images.is_empty();
        let mut counted: Vec<(TaskId, u32, DisturbanceCounts)> = Vec::new();
        for task in &minion.runs {
            let Some(spec) = self.step_spec(*task).filter(|spec| spec.is_serving()) else {
                continue;
            };
            let Some(run) = self.runs.get(task) else { continue };
            let step = TaskId { index: 0, ..*task };
            if counted.last().is_none_or(|(last, ..)| *last != step) {
                counted.push((step, disturbance_budget(spec), DisturbanceCounts::default()));
            }
            let Some((.., counts)) = counted.last_mut() else { continue };
            if is_alone {
                continue;
            }
            let is_over = run.over_latency_bound_since_ms.is_some();
            counts.over += u32::from(is_over);
            counts.predicted += u32::from(!is_over && self.is_predicted_over(minion, step));
        }
        counted
    }

    /// Returns whether a serving group on a minion is predicted to exceed its bound at the current
    /// paces.
    fn is_predicted_over(&self, minion: &Minion, step: TaskId) -> bool {
        let Some(group) = minion.headroom.iter().find(|group| group.step == step) else {
            return false;
        };
        let at = |ratio: f64| self.interference.utilization_at(&group.image, ratio);
        let to_bound = at(1.0) - at(crate::tuning::MAX_SERVING_TAIL_LATENCY_RATIO);
        let limited = |tasks: &super::best_effort_tasks::BestEffortTasks| tasks.ramp.is_limited();
        // Limited images count as at full speed in the headroom, and run slower now.
        group.utilization < -to_bound && !minion.best_effort_images.values().any(limited)
    }

    /// Lowers the limit of the image that slows a step's tasks on a minion the most.
    fn relieve(&mut self, id: &Name, step: TaskId) {
        let Some(minion) = self.minions.get_mut(id) else { return };
        let Some(group) = minion.headroom.iter().find(|group| group.step == step) else { return };
        let (interference, serving) = (&self.interference, group.image.clone());
        let harm = |image: &Name, milli_cpus: f64| {
            interference.added_utilization(&serving, image, milli_cpus)
        };
        let images = minion.best_effort_images.iter_mut();
        let running = images.filter(|(_, tasks)| tasks.pace_percent > 0);
        let worst = running.max_by(|(a, x), (b, y)| {
            harm(a, x.milli_cpus_at(x.pace_percent))
                .total_cmp(&harm(b, y.milli_cpus_at(y.pace_percent)))
        });
        if let Some((_, tasks)) = worst {
            tasks.ramp.fall(tasks.pace_percent);
        }
    }

    /// Lowers the limits on the other minions of a step that has just exceeded its budget, without
    /// waiting for their next polls.
    fn relieve_other_minions(&mut self, id: &Name, step: TaskId, now: Now) {
        for other in self.disturbance.minions_over_bound(step) {
            if other != *id {
                self.relieve(&other, step);
                self.order_due_pace_changes(&other, now);
                self.refresh_headroom(&other);
            }
        }
    }

    /// Raises the limits of a minion's images if none of its serving tasks is over its bound. An
    /// image that has not worked yet keeps its limit, because no measurement shows its effect.
    fn raise_limits(&mut self, id: &Name) {
        let Some(minion) = self.minions.get(id) else { return };
        if minion.over_latency_bound_ms > 0 {
            return;
        }
        let limited = minion.best_effort_images.iter().filter(|(_, tasks)| tasks.ramp.is_limited());
        let raised: Vec<Name> = limited
            .filter(|(image, tasks)| tasks.pace_percent == 0 || self.has_worked(minion, image))
            .map(|(image, _)| image.clone())
            .collect();
        let Some(minion) = self.minions.get_mut(id) else { return };
        for image in raised {
            if let Some(tasks) = minion.best_effort_images.get_mut(&image) {
                tasks.ramp.rise();
            }
        }
    }

    /// Returns whether the last poll of a minion showed that a best-effort image used processors.
    fn has_worked(&self, minion: &Minion, image: &Name) -> bool {
        minion.runs.iter().any(|task| {
            self.step_spec(*task).is_some_and(|spec| spec.best_effort && spec.image == *image)
                && self.runs.get(task).is_some_and(|run| run.measurement > 0)
        })
    }

    /// Ends the trials on a minion whose image is known by now or has no runs left there.
    fn end_known_trials(&mut self, id: &Name, now: Now) {
        let (minions, interference, jobs) = (&self.minions, &self.interference, &self.jobs);
        self.disturbance.end_trials(now.steady_ms, |step, trial| {
            if trial.minion != *id {
                return true;
            }
            let runs =
                minions.get(id).is_some_and(|m| m.best_effort_images.contains_key(&trial.image));
            let spec = jobs
                .get(&step.job)
                .and_then(|job| job.record.spec.steps.get(usize::from(step.step)));
            let is_uncertain = spec.is_some_and(|spec| {
                interference.slope(&spec.image, &trial.image).deviation > UNCERTAIN_SLOPE_DEVIATION
            });
            runs && is_uncertain
        });
    }

    /// Removes what the ledger holds on minions without polls and on tasks that have ended.
    pub(super) fn remove_outdated_disturbance(&mut self, now: Now) {
        if !self.bounds_disturbance() {
            return;
        }
        let minions = &self.minions;
        let exists = |step: TaskId, id: &Name| {
            let last = TaskId { index: u32::MAX, ..step };
            minions.get(id).is_some_and(|minion| minion.runs.range(step..=last).next().is_some())
        };
        self.disturbance.end_trials(now.steady_ms, |step, trial| exists(step, &trial.minion));
        for step in self.disturbance.remove_outdated(now.steady_ms, exists) {
            self.log_budget_change(step, BudgetChange::Restored);
        }
    }

    fn log_budget_change(&mut self, step: TaskId, change: BudgetChange) {
        if change == BudgetChange::None {
            return;
        }
        let disturbed = self.disturbance.disturbed(step);
        let budget = self.step_spec(step).map_or(0, disturbance_budget);
        let over = change == BudgetChange::Exceeded;
        self.log(format!(
            "event=disturbance step={step} disturbed={disturbed} budget={budget} over={over}"
        ));
    }
}
