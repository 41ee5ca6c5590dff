use std::collections::BTreeMap;

use super::baseline::Deviation;
use super::{Baseline, ServingGroup, Slope, Slopes};
use crate::TaskId;

/// Assumed tail latency of an idle serving task, as a multiple of its bound, until a lower tail
/// latency is measured.
const INITIAL_IDLE_TAIL_LATENCY_RATIO: f64 = 0.2;
/// Maximum utilization that is derived from a measurement. At a higher utilization a queue has
/// built up, and the tail latency depends on the duration of the overload more than on its cause.
const MAX_MEASURABLE_UTILIZATION: f64 = 0.95;
/// Weight of the newest residual in the running mean of squared residuals.
const RESIDUAL_WEIGHT: f64 = 0.05;

/// Learned behaviour of one serving image: its slopes, and the user load of its groups.
#[derive(Debug)]
pub struct ServingImage {
    /// Lowest measured tail latency, as a multiple of its bound.
    pub idle_tail_latency_ratio: f64,
    pub slopes: Slopes,
    groups: BTreeMap<ServingGroup, Baseline>,
    steps: BTreeMap<TaskId, ServingStep>,
}

/// Learned user load of a serving step over all its minions.
///
/// Depending on how users reach the tasks, the load may be even: all groups have the same user load
/// at any time. If so, the groups together show the user load sooner and more reliably than each
/// group alone, and a difference between two minions immediately shows which image interferes. If
/// not, a common baseline would attribute differences in user load to best-effort tasks. Therefore
/// both the step's and the group's baseline predict each measurement, and the baseline with the
/// smaller mean squared residual is used.
#[derive(Debug, Default)]
struct ServingStep {
    baseline: Baseline,
    /// Mean squared residual of the step's baseline.
    step_residual: f64,
    /// Mean squared residual of the groups' own baselines.
    group_residual: f64,
}

impl ServingStep {
    /// Returns whether the load appears to be even over the step's groups.
    fn is_load_even(&self) -> bool {
        self.step_residual <= self.group_residual
    }
}

impl Default for ServingImage {
    fn default() -> Self {
        Self {
            idle_tail_latency_ratio: INITIAL_IDLE_TAIL_LATENCY_RATIO,
            slopes: Slopes::default(),
            groups: BTreeMap::new(),
            steps: BTreeMap::new(),
        }
    }
}

impl ServingImage {
    /// Returns the utilization that corresponds to a tail latency, given as a multiple of its
    /// bound.
    pub fn utilization(&self, tail_latency_ratio: f64) -> f64 {
        (1.0 - self.idle_tail_latency_ratio / tail_latency_ratio.max(f64::EPSILON))
            .clamp(0.0, MAX_MEASURABLE_UTILIZATION)
    }

    /// Learns from a group's tail latency, as a multiple of its bound. `shares` holds the share of
    /// the minion's processors that each best-effort image used, by index of the image.
    pub fn observe(
        &mut self,
        group: &ServingGroup,
        tail_latency_ratio: f64,
        shares: &[f64],
        now_ms: u64,
    ) {
        self.idle_tail_latency_ratio = self.idle_tail_latency_ratio.min(tail_latency_ratio);
        let utilization = self.utilization(tail_latency_ratio);
        let step = self.steps.entry(group.step).or_default();
        let of_step = step.baseline.update(utilization, shares, now_ms);
        let baseline = self.groups.entry(group.clone()).or_default();
        let of_group = baseline.update(utilization, shares, now_ms);
        let square = |deviation: &Deviation| self.slopes.residual(deviation).powi(2);
        step.step_residual += RESIDUAL_WEIGHT * (square(&of_step) - step.step_residual);
        step.group_residual += RESIDUAL_WEIGHT * (square(&of_group) - step.group_residual);
        self.slopes.observe(if step.is_load_even() { &of_step } else { &of_group });
    }

    /// Returns the estimated utilization of a group by its user load, or a default estimate for an
    /// unknown group.
    pub fn user_utilization(&self, group: &ServingGroup) -> f64 {
        let step = self.steps.get(&group.step).filter(|step| step.is_load_even());
        let baseline = step.map(|step| &step.baseline).or_else(|| self.groups.get(group));
        let unseen = Baseline::default();
        baseline.unwrap_or(&unseen).user_utilization(|index| self.slopes.get(index).mean)
    }

    /// Returns the slope of the best-effort image with this index, or [`Slope::UNKNOWN`] for an
    /// image without an index.
    pub fn slope(&self, index: Option<usize>) -> Slope {
        index.map_or(Slope::UNKNOWN, |index| self.slopes.get(index))
    }

    /// Removes groups that no longer exist, and steps without groups.
    pub fn retain(&mut self, exists: impl Fn(&ServingGroup) -> bool) {
        self.groups.retain(|group, _| exists(group));
        let groups = &self.groups;
        self.steps.retain(|step, _| groups.keys().any(|group| group.step == *step));
    }

    /// Returns whether no minion runs tasks of the image.
    pub fn has_no_groups(&self) -> bool {
        self.groups.is_empty()
    }
}
