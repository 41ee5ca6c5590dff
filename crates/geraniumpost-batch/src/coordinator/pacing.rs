//! Keeping what fills from harming what serves, and emptying minions that leave.

use geraniumpost_schema::Name;

use super::Coordinator;
use crate::tuning::{COOL_PERCENT, HOT_PERCENT, PACE_EVERY_MS};
use crate::{Now, TaskId};

/// Time that a leaving minion is taken to stay if it does not say, in milliseconds.
const STAY_MS: u64 = 2_000;
/// Time that moving a task costs anyway, in milliseconds: a stop, a commit and a start.
const MOVE_MS: u64 = 400;
/// Share below which a pace is set to nothing.
const LEAST_PERCENT: u8 = 10;
/// Steps in which a pace rises again, in percent.
const RISE_PERCENT: u8 = 15;

impl Coordinator {
    /// Sets the pace of what fills on a minion by the tail latencies of what serves there.
    ///
    /// Tasks that share a minion disturb each other by amounts that no declaration tells and that
    /// change within seconds; a user of the serving task notices slow answers. The measured tail
    /// is the only sign, so the pace falls by half while the tail is above its bound and rises
    /// slowly while it is well below, like a congestion window.
    pub(super) fn adjust_pace(&mut self, id: &Name, now: Now) {
        let Some(minion) = self.minions.get(id) else { return };
        if now.steady_ms < minion.paced_ms + PACE_EVERY_MS {
            return;
        }
        let worst = self.worst_tail_percent(id);
        let before = minion.fill_percent;
        let percent = match worst {
            None => 100,
            Some(worst) if worst >= 100 => before / 2,
            Some(worst) if worst >= HOT_PERCENT => before - before / 4,
            Some(worst) if worst <= COOL_PERCENT => before.saturating_add(RISE_PERCENT).min(100),
            Some(_) => before,
        };
        let percent = if percent < LEAST_PERCENT && percent < before { 0 } else { percent };
        if percent == before {
            return;
        }
        let filling: Vec<TaskId> = self.filling_on(id);
        if let Some(minion) = self.minions.get_mut(id) {
            minion.fill_percent = percent;
            minion.paced_ms = now.steady_ms;
        }
        self.note(format!(
            "decision=pace minion={id} from={before} to={percent} tasks={} tail_percent_of_bound={}",
            filling.len(),
            worst.unwrap_or(0)
        ));
        for task in filling {
            self.send_pace(task, percent);
        }
    }

    /// Returns the worst tail on a minion in percent of its bound, if anything serves there.
    fn worst_tail_percent(&self, id: &Name) -> Option<u32> {
        let minion = self.minions.get(id).filter(|minion| minion.serving > 0)?;
        let tail = |task: &TaskId| {
            let bound = self.step_spec(*task).filter(|step| step.serves())?.latency_bound_ms;
            let run = self.runs.get(task)?;
            Some(run.gauge.saturating_mul(100) / bound)
        };
        minion.runs.iter().filter_map(tail).max()
    }

    fn filling_on(&self, id: &Name) -> Vec<TaskId> {
        let Some(minion) = self.minions.get(id) else { return Vec::new() };
        let fills = |task: &&TaskId| self.step_spec(**task).is_some_and(|step| step.fills);
        minion.runs.iter().filter(fills).copied().collect()
    }

    /// Stops what a leaving minion cannot finish, where it can go on elsewhere.
    pub(super) fn evacuate(&mut self, id: &Name, now: Now) {
        let Some(minion) = self.minions.get(id) else { return };
        let stays_ms = minion.info.remaining_ms.unwrap_or(STAY_MS);
        let tasks: Vec<TaskId> = minion.runs.iter().copied().collect();
        for task in tasks {
            if self.left_ms(task, now).is_some_and(|left| left + MOVE_MS < stays_ms) {
                continue;
            }
            if self.has_other_place(task, now) {
                self.stop_run(task, now);
            }
        }
    }

    /// Returns how long a run will still take in milliseconds; `None` for one without end.
    fn left_ms(&self, task: TaskId, now: Now) -> Option<u64> {
        let step = self.step_spec(task).filter(|step| !step.persistent)?;
        let run = self.runs.get(&task)?;
        let whole_ms = u64::from(step.estimate_ms);
        let Some(started_ms) = run.started_ms else { return Some(whole_ms) };
        let ran_ms = now.steady_ms.saturating_sub(started_ms);
        let percent = u64::from(run.percent);
        // The declared length is far off at times; progress tells better once there is some.
        let left_ms = if percent >= 10 { ran_ms * (100 - percent.min(100)) / percent } else { whole_ms };
        Some(left_ms)
    }
}
