use std::collections::BTreeMap;

use super::baseline::Offset;
use super::{Baseline, ServingGroup, Slope, Slopes};
use crate::TaskId;

/// Tail of an idle serving task in bounds, before any was lower.
const IDLE_TAIL: f64 = 0.2;
/// Highest utilization taken in. Beyond it a queue has built up, and the tail says more about how long
/// than about who.
const MOST: f64 = 0.95;
/// Part of the newest surprise in the mean of their squares.
const FRESH_SURPRISE: f64 = 0.05;

/// What is known of one serving image.
#[derive(Debug)]
pub struct ServingImage {
    /// Its lowest tail, in bounds.
    pub idle_tail: f64,
    pub slopes: Slopes,
    groups: BTreeMap<ServingGroup, Baseline>,
    steps: BTreeMap<TaskId, ServingStep>,
}

/// A serving step over all its minions.
///
/// Whether its tasks share the load of their users evenly, so that all groups have the same own load at any
/// time, depends on how the users reach them. Where they do, the groups together show it sooner and more
/// surely than each alone, and a difference between two minions tells at once who disturbs. Where they do not,
/// it would blame what fills for loads that differ. Both views predict each gauge, and the better one counts.
#[derive(Debug, Default)]
struct ServingStep {
    baseline: Baseline,
    /// Mean square of how far gauges lay off what the step as a whole let expect.
    surprise: f64,
    /// The same for what each group's own past let expect.
    group_surprise: f64,
}

impl ServingStep {
    fn is_even(&self) -> bool {
        self.surprise <= self.group_surprise
    }
}

impl Default for ServingImage {
    fn default() -> Self {
        Self {
            idle_tail: IDLE_TAIL,
            slopes: Slopes::default(),
            groups: BTreeMap::new(),
            steps: BTreeMap::new(),
        }
    }
}

impl ServingImage {
    /// Returns the utilization that a tail (in bounds) shows.
    pub fn utilization(&self, tail: f64) -> f64 {
        (1.0 - self.idle_tail / tail.max(f64::EPSILON)).clamp(0.0, MOST)
    }

    /// Learns from a group's tail (in bounds) beside filling images that used these shares of the minion's
    /// processors.
    pub fn observe(&mut self, group: &ServingGroup, tail: f64, shares: &[f64], now_ms: u64) {
        self.idle_tail = self.idle_tail.min(tail);
        let utilization = self.utilization(tail);
        let step = self.steps.entry(group.step).or_default();
        let of_step = step.baseline.update(utilization, shares, now_ms);
        let baseline = self.groups.entry(group.clone()).or_default();
        let of_group = baseline.update(utilization, shares, now_ms);
        let square = |off: &Offset| self.slopes.surprise(off).powi(2);
        step.surprise += FRESH_SURPRISE * (square(&of_step) - step.surprise);
        step.group_surprise += FRESH_SURPRISE * (square(&of_group) - step.group_surprise);
        self.slopes.observe(if step.is_even() { &of_step } else { &of_group });
    }

    /// Returns the utilization that a group's own users cause.
    pub fn own(&self, group: &ServingGroup) -> f64 {
        let step = self.steps.get(&group.step).filter(|step| step.is_even());
        let baseline = step.map(|step| &step.baseline).or_else(|| self.groups.get(group));
        let unseen = Baseline::default();
        baseline.unwrap_or(&unseen).own(|at| self.slopes.get(at).mean)
    }

    /// Returns the slope of a filling image by its number, if it ever had one.
    pub fn slope(&self, at: Option<usize>) -> Slope {
        at.map_or(Slope::UNKNOWN, |at| self.slopes.get(at))
    }

    /// Forgets groups that are gone, and steps without any.
    pub fn retain(&mut self, exists: impl Fn(&ServingGroup) -> bool) {
        self.groups.retain(|group, _| exists(group));
        let groups = &self.groups;
        self.steps.retain(|step, _| groups.keys().any(|group| group.step == *step));
    }

    /// Returns whether it serves nowhere.
    pub fn is_idle(&self) -> bool {
        self.groups.is_empty()
    }
}
