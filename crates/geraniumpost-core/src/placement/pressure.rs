use geraniumpost_schema::{Name, Priority};

use super::gauge::Gauge;
use super::interference_model::InterferenceModel;
use super::task_view::FULL_SPEED;
use super::{Decision, Reason, TaskView, WorkerView};
use crate::Millis;

/// How long a service must be pressed before a task is slowed.
const HOT_MS: u64 = 3_000;
/// How long a service must be pressed before a task is evicted.
const VERY_HOT_MS: u64 = 20_000;
/// Smoothed latency, in targets, from which eviction is worth its cost.
const EVICT_OVER: f64 = 1.3;
/// How long a service must be calm before a task is sped up.
const CALM_MS: u64 = 8_000;
/// Least time between two measures on a worker: the effect is seen only after the lag.
const SETTLE_MS: u64 = 6_000;
/// Slowest speed of a throttled task, in thousandths.
const SLOWEST: u32 = 250;
/// Least harm, in targets, for which a task is slowed.
const WORTH_SLOWING: f64 = 0.05;
/// Predicted latency, in targets, up to which a task is sped up again.
const ROOM_TO_LIFT: f64 = 1.0;

/// What to do about one worker's service.
pub struct Pressure<'a> {
    /// The present.
    pub now: Millis,
    /// The worker.
    pub view: &'a WorkerView,
    /// Its service's latency.
    pub gauge: &'a Gauge,
    /// What harms whom.
    pub model: &'a InterferenceModel,
}

impl<'a> Pressure<'a> {
    /// Slows the most harmful task of a pressed service, or speeds one up beside a calm one.
    pub fn relieve(&self) -> Option<Decision> {
        if self.now.since(self.gauge.acted) < SETTLE_MS {
            return None;
        }
        if self.gauge.hot_for(self.now)? >= HOT_MS { self.slow() } else { None }
    }

    /// Speeds a slowed task up beside a calm service.
    pub fn lift(&self) -> Option<Decision> {
        let calm = self.gauge.calm_for(self.now)? >= CALM_MS;
        if !calm || self.now.since(self.gauge.acted) < SETTLE_MS {
            return None;
        }
        let slowed = self.view.tasks.iter().filter(|task| task.permille < FULL_SPEED);
        let harms = slowed.map(|task| (self.harm(task), task));
        let (harm, task) = harms.min_by(|a, b| a.0.total_cmp(&b.0))?;
        // Twice the speed does twice the harm.
        if self.gauge.smoothed + harm > ROOM_TO_LIFT {
            return None;
        }
        let permille = (task.permille * 2).min(FULL_SPEED);
        if task.more_milli_cpus(permille) > self.view.free().milli_cpus {
            return None;
        }
        let reason = Reason::Calm { p99_permille: permille_of(self.gauge.smoothed) };
        Some(self.throttle(task, permille, reason))
    }

    /// Evicts the most harmful task if slowing did not help.
    pub fn evict(&self) -> Option<Decision> {
        let hot = self.gauge.hot_for(self.now)? >= VERY_HOT_MS;
        if !hot || self.gauge.smoothed < EVICT_OVER || self.now.since(self.gauge.acted) < SETTLE_MS
        {
            return None;
        }
        let (harm, task) = self.worst(|task| task.evictable && task.permille <= SLOWEST)?;
        let reason = Reason::Pressed {
            p99_permille: permille_of(self.gauge.smoothed),
            harm_permille: permille_of(harm),
        };
        Some(Decision::Evict {
            job: task.job.clone(),
            worker: self.view.name.clone(),
            for_job: Name::default(),
            reason,
        })
    }

    fn slow(&self) -> Option<Decision> {
        let (harm, task) = self.worst(|task| task.permille > SLOWEST)?;
        let reason = Reason::Pressed {
            p99_permille: permille_of(self.gauge.smoothed),
            harm_permille: permille_of(harm),
        };
        let permille = (task.permille / 2).max(SLOWEST);
        Some(self.throttle(task, permille, reason))
    }

    fn worst(&self, may: impl Fn(&TaskView) -> bool) -> Option<(f64, &'a TaskView)> {
        let view = self.view;
        let batch = view.tasks.iter().filter(|t| t.priority != Priority::Urgent && may(t));
        let harms = batch.map(|task| (self.harm(task), task));
        let worst = harms.max_by(|a, b| a.0.total_cmp(&b.0))?;
        (worst.0 >= WORTH_SLOWING).then_some(worst)
    }

    /// Returns what a task adds to the service's p99 now, in targets.
    fn harm(&self, task: &TaskView) -> f64 {
        let Some(service) = &self.view.service else { return 0.0 };
        let class = self.model.known_class(&task.class);
        let load = f64::from(self.view.load_permille) / 1000.0;
        let strength = InterferenceModel::strength(task.active_milli_cpus(), load);
        self.model.slope(service, class) * strength
    }

    fn throttle(&self, task: &TaskView, permille: u32, reason: Reason) -> Decision {
        let (job, worker) = (task.job.clone(), self.view.name.clone());
        Decision::Throttle { job, worker, permille, reason }
    }
}

fn permille_of(targets: f64) -> u32 {
    (targets.max(0.0) * 1000.0) as u32
}
