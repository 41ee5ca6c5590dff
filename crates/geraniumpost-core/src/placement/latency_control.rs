use geraniumpost_schema::{Name, Priority};

use super::interference_model::InterferenceModel;
use super::smoothed_latency::SmoothedLatency;
use super::task_view::FULL_SPEED;
use super::{Decision, Reason, TaskView, WorkerView};
use crate::Millis;

/// Time for which latency must be high before a task is throttled.
const THROTTLE_AFTER_MS: u64 = 3_000;
/// Time for which latency must be high before a task is evicted.
const EVICT_AFTER_MS: u64 = 20_000;
/// Smoothed p99, as a multiple of the target, from which an eviction is worth its cost.
const EVICT_MIN_P99_RATIO: f64 = 1.3;
/// Time for which latency must be low before a task is sped up.
const SPEED_UP_AFTER_MS: u64 = 8_000;
/// Minimum time between two actions on a worker, because measurements show the effect of an action
/// with a delay.
const ACTION_INTERVAL_MS: u64 = 6_000;
/// Lowest speed of a throttled task, in thousandths of its full speed.
const MIN_SPEED_PERMILLE: u32 = 250;
/// Interference of a task, as a multiple of the target, from which the task is throttled or
/// evicted.
const MIN_INTERFERENCE: f64 = 0.05;
/// Predicted p99, as a multiple of the target, up to which a task is sped up.
const SPEED_UP_MAX_P99_RATIO: f64 = 1.0;

/// Decides whether to throttle, speed up or evict a task, to control the latency of the service on
/// the worker's VM.
pub struct LatencyControl<'a> {
    pub now: Millis,
    pub view: &'a WorkerView,
    pub latency: &'a SmoothedLatency,
    pub model: &'a InterferenceModel,
}

impl<'a> LatencyControl<'a> {
    /// Throttles the task that interferes most, if latency has been high for [`THROTTLE_AFTER_MS`]
    /// and the last action was at least [`ACTION_INTERVAL_MS`] ago.
    pub fn throttle_if_high(&self) -> Option<Decision> {
        if self.now.since(self.latency.last_action) < ACTION_INTERVAL_MS {
            return None;
        }
        if self.latency.high_duration_ms(self.now)? >= THROTTLE_AFTER_MS {
            self.throttle_most_interfering()
        } else {
            None
        }
    }

    /// Doubles the speed of the throttled task that interferes least, if latency has been low for
    /// [`SPEED_UP_AFTER_MS`], the last action was at least [`ACTION_INTERVAL_MS`] ago, the
    /// predicted p99 stays within [`SPEED_UP_MAX_P99_RATIO`], and the additional processors are
    /// free.
    pub fn speed_up_if_low(&self) -> Option<Decision> {
        let low = self.latency.low_duration_ms(self.now)? >= SPEED_UP_AFTER_MS;
        if !low || self.now.since(self.latency.last_action) < ACTION_INTERVAL_MS {
            return None;
        }
        let throttled = self.view.tasks.iter().filter(|task| task.permille < FULL_SPEED);
        let by_interference = throttled.map(|task| (self.interference(task), task));
        let (interference, task) = by_interference.min_by(|a, b| a.0.total_cmp(&b.0))?;
        // At twice its speed the task interferes twice as much.
        if self.latency.smoothed_p99 + interference > SPEED_UP_MAX_P99_RATIO {
            return None;
        }
        let permille = (task.permille * 2).min(FULL_SPEED);
        if task.additional_milli_cpus(permille) > self.view.free().milli_cpus {
            return None;
        }
        let reason =
            Reason::LatencyRecovered { p99_permille: to_permille(self.latency.smoothed_p99) };
        Some(self.speed_decision(task, permille, reason))
    }

    /// Evicts the task that interferes most among evictable tasks at the lowest speed, if latency
    /// has been high for [`EVICT_AFTER_MS`], is at least [`EVICT_MIN_P99_RATIO`], and the last action
    /// was at least [`ACTION_INTERVAL_MS`] ago.
    pub fn evict_if_high(&self) -> Option<Decision> {
        let high = self.latency.high_duration_ms(self.now)? >= EVICT_AFTER_MS;
        if !high
            || self.latency.smoothed_p99 < EVICT_MIN_P99_RATIO
            || self.now.since(self.latency.last_action) < ACTION_INTERVAL_MS
        {
            return None;
        }
        let (interference, task) = self
            .most_interfering_task(|task| task.evictable && task.permille <= MIN_SPEED_PERMILLE)?;
        let reason = Reason::LatencyHigh {
            p99_permille: to_permille(self.latency.smoothed_p99),
            task_permille: to_permille(interference),
        };
        Some(Decision::Evict {
            job: task.job.clone(),
            worker: self.view.name.clone(),
            for_job: Name::default(),
            reason,
        })
    }

    /// Halves the speed of the task that interferes most, but not below [`MIN_SPEED_PERMILLE`].
    fn throttle_most_interfering(&self) -> Option<Decision> {
        let (interference, task) =
            self.most_interfering_task(|task| task.permille > MIN_SPEED_PERMILLE)?;
        let reason = Reason::LatencyHigh {
            p99_permille: to_permille(self.latency.smoothed_p99),
            task_permille: to_permille(interference),
        };
        let permille = (task.permille / 2).max(MIN_SPEED_PERMILLE);
        Some(self.speed_decision(task, permille, reason))
    }

    /// Returns the eligible task that is not urgent and interferes most, with its interference.
    /// `None` if that interference is below [`MIN_INTERFERENCE`].
    fn most_interfering_task(
        &self,
        is_eligible: impl Fn(&TaskView) -> bool,
    ) -> Option<(f64, &'a TaskView)> {
        let view = self.view;
        let batch = view.tasks.iter().filter(|t| t.priority != Priority::Urgent && is_eligible(t));
        let by_interference = batch.map(|task| (self.interference(task), task));
        let worst = by_interference.max_by(|a, b| a.0.total_cmp(&b.0))?;
        (worst.0 >= MIN_INTERFERENCE).then_some(worst)
    }

    /// Returns the predicted part of the service's p99 that a task adds at its current speed, as a
    /// multiple of the target.
    fn interference(&self, task: &TaskView) -> f64 {
        let Some(service) = &self.view.service else { return 0.0 };
        let class = self.model.class_index(&task.class);
        let load = f64::from(self.view.load_permille) / 1000.0;
        let intensity = InterferenceModel::intensity(task.active_milli_cpus(), load);
        self.model.slope(service, class) * intensity
    }

    fn speed_decision(&self, task: &TaskView, permille: u32, reason: Reason) -> Decision {
        let (job, worker) = (task.job.clone(), self.view.name.clone());
        Decision::Throttle { job, worker, permille, reason }
    }
}

/// Converts a multiple of the target to thousandths; negative values become 0.
fn to_permille(ratio: f64) -> u32 {
    (ratio.max(0.0) * 1000.0) as u32
}
