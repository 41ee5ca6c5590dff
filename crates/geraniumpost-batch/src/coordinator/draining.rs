//! Emptying minions that leave.

use geraniumpost_schema::Name;

use super::Coordinator;
use crate::{Now, TaskId};

/// Time that a leaving minion is taken to stay if it does not say, in milliseconds.
pub(super) const DEFAULT_DRAIN_MS: u64 = 2_000;
/// Time that moving a task costs anyway, in milliseconds: a stop, a commit and a start.
const MOVE_COST_MS: u64 = 400;
/// Pause between two looks for other places, in milliseconds. Minions leave seconds after their notice,
/// and each look asks every minion for each task that stays.
const LOOK_EVERY_MS: u64 = 300;

impl Coordinator {
    /// Moves what leaving minions cannot finish, again and again until they are empty.
    ///
    /// At the moment of the notice there may be no other place: the fleet is full, or this coordinator
    /// has just taken over and has looked at no other minion. A task that was then left alone would end
    /// with its minion, and its users would miss it until that is known for certain.
    pub(super) fn evacuate_draining(&mut self, now: Now) {
        let due: Vec<Name> = self
            .minions
            .iter()
            .filter(|(_, minion)| {
                minion.reported && minion.info.draining && !minion.runs.is_empty()
            })
            .filter(|(_, minion)| now.steady_ms >= minion.last_evacuation_ms + LOOK_EVERY_MS)
            .map(|(id, _)| id.clone())
            .collect();
        for id in due {
            self.evacuate(&id, now);
        }
    }

    /// Stops what a leaving minion cannot finish, where it can go on elsewhere.
    pub(super) fn evacuate(&mut self, id: &Name, now: Now) {
        let Some(minion) = self.minions.get_mut(id) else { return };
        minion.last_evacuation_ms = now.steady_ms;
        let stays_ms = minion.drain_deadline_ms.saturating_sub(now.steady_ms);
        let tasks: Vec<TaskId> = minion.runs.iter().copied().collect();
        let (mut stopped, mut tasks_without_place) = (0, 0);
        for task in tasks {
            if self.runs.get(&task).is_some_and(super::Run::is_stopping)
                || self
                    .remaining_run_ms(task, now)
                    .is_some_and(|left| left + MOVE_COST_MS < stays_ms)
            {
                continue;
            }
            if self.has_other_place(task, now) {
                self.stop_run(task, now);
                stopped += 1;
            } else {
                tasks_without_place += 1;
            }
        }
        self.log_evacuation(id, stays_ms, stopped, tasks_without_place);
    }

    /// Logs what was decided on a leaving minion, unless it is what the last line said.
    fn log_evacuation(&mut self, id: &Name, stays_ms: u64, stopped: u32, tasks_without_place: u32) {
        let Some(minion) = self.minions.get_mut(id) else { return };
        let news = stopped > 0 || tasks_without_place != minion.tasks_without_place;
        minion.tasks_without_place = tasks_without_place;
        if news {
            self.log(format!(
                "decision=empty minion={id} stays_ms={stays_ms} stopped={stopped} \
                 without_other_place={tasks_without_place}"
            ));
        }
    }

    /// Returns how long a run will still take in milliseconds; `None` for one without end.
    fn remaining_run_ms(&self, task: TaskId, now: Now) -> Option<u64> {
        let step = self.step_spec(task).filter(|step| !step.persistent)?;
        let run = self.runs.get(&task)?;
        let whole_ms = u64::from(step.estimate_ms);
        let Some(started_ms) = run.started_ms else { return Some(whole_ms) };
        let ran_ms = now.steady_ms.saturating_sub(started_ms);
        let percent = u64::from(run.progress_percent);
        // The declared length is far off at times; progress tells better once there is some.
        let known = percent >= 10;
        Some(if known { ran_ms * (100 - percent.min(100)) / percent } else { whole_ms })
    }
}
