//! Evacuation of draining minions.

use geraniumpost_schema::Name;

use super::Coordinator;
use crate::{Now, TaskId};

/// Remaining time assumed for a draining minion that reports none, in milliseconds.
pub(super) const DEFAULT_DRAIN_DURATION_MS: u64 = 2_000;
/// Minimum time that moving a task takes, in milliseconds: a stop, a commit and a start.
pub(super) const MIN_MOVE_DURATION_MS: u64 = 400;
/// Interval between two evacuations of a minion, in milliseconds. Minions terminate seconds after
/// they begin to drain, and each evacuation checks every minion for each remaining task.
const EVACUATION_INTERVAL_MS: u64 = 300;

impl Coordinator {
    /// Evacuates draining minions repeatedly until they are empty.
    ///
    /// When a minion begins to drain, no other minion may accept its tasks: the fleet is full, or
    /// this coordinator has just taken over and has polled no other minion yet. A task that is not
    /// moved before the minion terminates ends with the minion, and is down until the coordinator
    /// learns of that end.
    pub(super) fn evacuate_draining_minions(&mut self, now: Now) {
        let due: Vec<Name> = self
            .minions
            .iter()
            .filter(|(_, minion)| {
                minion.reported && minion.info.draining && !minion.runs.is_empty()
            })
            .filter(|(_, minion)| {
                now.steady_ms >= minion.last_evacuation_ms + EVACUATION_INTERVAL_MS
            })
            .map(|(id, _)| id.clone())
            .collect();
        for id in due {
            self.evacuate(&id, now);
        }
    }

    /// Stops the runs that a draining minion cannot finish, if another minion accepts their tasks.
    pub(super) fn evacuate(&mut self, id: &Name, now: Now) {
        let Some(minion) = self.minions.get_mut(id) else { return };
        minion.last_evacuation_ms = now.steady_ms;
        let remaining_ms = minion.drain_deadline_ms.saturating_sub(now.steady_ms);
        let tasks: Vec<TaskId> = minion.runs.iter().copied().collect();
        let (mut stopped, mut tasks_without_place) = (0, 0);
        for task in tasks {
            if self.runs.get(&task).is_some_and(super::Run::is_stopping)
                || self
                    .remaining_run_ms(task, now)
                    .is_some_and(|run_ms| run_ms + MIN_MOVE_DURATION_MS < remaining_ms)
            {
                continue;
            }
            if self.has_eligible_minion(task, now) {
                self.stop_run(task, now);
                stopped += 1;
            } else {
                tasks_without_place += 1;
            }
        }
        self.log_evacuation(id, remaining_ms, stopped, tasks_without_place);
    }

    /// Logs an evacuation, unless no run was stopped and the number of tasks that no other minion
    /// accepts is unchanged.
    fn log_evacuation(
        &mut self,
        id: &Name,
        remaining_ms: u64,
        stopped: u32,
        tasks_without_place: u32,
    ) {
        let Some(minion) = self.minions.get_mut(id) else { return };
        let changed = stopped > 0 || tasks_without_place != minion.tasks_without_place;
        minion.tasks_without_place = tasks_without_place;
        if changed {
            self.log(format!(
                "decision=evacuate minion={id} remaining_ms={remaining_ms} stopped={stopped} \
                 without_other_place={tasks_without_place}"
            ));
        }
    }

    /// Returns the estimated remaining time of a run in milliseconds; `None` for a persistent task
    /// or an unknown run.
    pub(super) fn remaining_run_ms(&self, task: TaskId, now: Now) -> Option<u64> {
        let step = self.step_spec(task).filter(|step| !step.persistent)?;
        let run = self.runs.get(&task)?;
        let estimate_ms = u64::from(step.estimate_ms);
        let Some(started_ms) = run.started_ms else { return Some(estimate_ms) };
        let ran_ms = now.steady_ms.saturating_sub(started_ms);
        let percent = u64::from(run.progress_percent);
        // Declared estimates may be far off; from 10% progress on, an estimate from the progress is
        // more accurate.
        let is_accurate = percent >= 10;
        Some(if is_accurate { ran_ms * (100 - percent.min(100)) / percent } else { estimate_ms })
    }
}
