use geraniumpost_schema::{Name, Priority};

use super::interference_model::InterferenceModel;
use super::smoothed_latency::SmoothedLatency;
use super::task_view::FULL_SPEED;
use super::{Decision, Reason, TaskView, WorkerView};
use crate::Millis;

/// How long latency must be high before a task is slowed.
const THROTTLE_AFTER_MS: u64 = 3_000;
/// How long latency must be high before a task is evicted.
const EVICT_AFTER_MS: u64 = 20_000;
/// Smoothed p99, in targets, from which an eviction is worth its cost.
const EVICT_MIN_P99: f64 = 1.3;
/// How long latency must be low before a task is sped up.
const SPEED_UP_AFTER_MS: u64 = 8_000;
/// Minimum time between two actions on a worker, as measurements show an effect only after a lag.
const ACTION_INTERVAL_MS: u64 = 6_000;
/// Lowest speed of a throttled task, in thousandths.
const MIN_SPEED_PERMILLE: u32 = 250;
/// Minimum interference, in targets, for which a task is slowed or evicted.
const MIN_INTERFERENCE: f64 = 0.05;
/// Predicted p99, in targets, up to which a task is sped up.
const SPEED_UP_MAX_P99: f64 = 1.0;

/// Decides on the tasks beside one worker's service, from the service's latency.
pub struct LatencyControl<'a> {
    pub now: Millis,
    pub view: &'a WorkerView,
    pub latency: &'a SmoothedLatency,
    pub model: &'a InterferenceModel,
}

impl<'a> LatencyControl<'a> {
    /// Slows the task that interferes most, if the service's latency has been high for a while.
    pub fn slow_down_if_high(&self) -> Option<Decision> {
        if self.now.since(self.latency.last_action) < ACTION_INTERVAL_MS {
            return None;
        }
        if self.latency.high_for(self.now)? >= THROTTLE_AFTER_MS { self.slow_down() } else { None }
    }

    /// Speeds up a slowed task, if the service's latency has been low for a while.
    pub fn speed_up_if_low(&self) -> Option<Decision> {
        let low = self.latency.low_for(self.now)? >= SPEED_UP_AFTER_MS;
        if !low || self.now.since(self.latency.last_action) < ACTION_INTERVAL_MS {
            return None;
        }
        let slowed = self.view.tasks.iter().filter(|task| task.permille < FULL_SPEED);
        let by_interference = slowed.map(|task| (self.interference(task), task));
        let (interference, task) = by_interference.min_by(|a, b| a.0.total_cmp(&b.0))?;
        // A task at twice its speed interferes twice as much.
        if self.latency.smoothed + interference > SPEED_UP_MAX_P99 {
            return None;
        }
        let permille = (task.permille * 2).min(FULL_SPEED);
        if task.additional_milli_cpus(permille) > self.view.free().milli_cpus {
            return None;
        }
        let reason = Reason::LatencyRecovered { p99_permille: permille_of(self.latency.smoothed) };
        Some(self.throttle(task, permille, reason))
    }

    /// Evicts the task that interferes most, if slowing tasks did not help.
    pub fn evict(&self) -> Option<Decision> {
        let high = self.latency.high_for(self.now)? >= EVICT_AFTER_MS;
        if !high
            || self.latency.smoothed < EVICT_MIN_P99
            || self.now.since(self.latency.last_action) < ACTION_INTERVAL_MS
        {
            return None;
        }
        let (interference, task) =
            self.worst(|task| task.evictable && task.permille <= MIN_SPEED_PERMILLE)?;
        let reason = Reason::LatencyHigh {
            p99_permille: permille_of(self.latency.smoothed),
            task_permille: permille_of(interference),
        };
        Some(Decision::Evict {
            job: task.job.clone(),
            worker: self.view.name.clone(),
            for_job: Name::default(),
            reason,
        })
    }

    fn slow_down(&self) -> Option<Decision> {
        let (interference, task) = self.worst(|task| task.permille > MIN_SPEED_PERMILLE)?;
        let reason = Reason::LatencyHigh {
            p99_permille: permille_of(self.latency.smoothed),
            task_permille: permille_of(interference),
        };
        let permille = (task.permille / 2).max(MIN_SPEED_PERMILLE);
        Some(self.throttle(task, permille, reason))
    }

    fn worst(&self, is_eligible: impl Fn(&TaskView) -> bool) -> Option<(f64, &'a TaskView)> {
        let view = self.view;
        let batch = view.tasks.iter().filter(|t| t.priority != Priority::Urgent && is_eligible(t));
        let by_interference = batch.map(|task| (self.interference(task), task));
        let worst = by_interference.max_by(|a, b| a.0.total_cmp(&b.0))?;
        (worst.0 >= MIN_INTERFERENCE).then_some(worst)
    }

    /// Returns how much a task currently adds to the service's p99, in targets.
    fn interference(&self, task: &TaskView) -> f64 {
        let Some(service) = &self.view.service else { return 0.0 };
        let class = self.model.class_number(&task.class);
        let load = f64::from(self.view.load_permille) / 1000.0;
        let intensity = InterferenceModel::intensity(task.active_milli_cpus(), load);
        self.model.slope(service, class) * intensity
    }

    fn throttle(&self, task: &TaskView, permille: u32, reason: Reason) -> Decision {
        let (job, worker) = (task.job.clone(), self.view.name.clone());
        Decision::Throttle { job, worker, permille, reason }
    }
}

fn permille_of(targets: f64) -> u32 {
    (targets.max(0.0) * 1000.0) as u32
}
