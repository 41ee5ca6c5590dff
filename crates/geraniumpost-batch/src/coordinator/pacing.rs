//! Keeping what fills from harming what serves.

use geraniumpost_schema::Name;

use super::Coordinator;
use super::run::OrderState;
use crate::{Now, TaskId};

/// Share below which a pace is set to nothing, in percent.
const LEAST_PERCENT: u8 = 8;
/// Smallest change of pace that is worth an order, in percent.
const LEAST_CHANGE: u8 = 10;
/// How long a task is slowed down before it is moved, in milliseconds: longer than most changes of pace take
/// to be taken back, as each second makes a whole job late.
const THROTTLED_MS: u64 = 300;
/// Progress below which a task without checkpoints is moved all the same, in percent.
const LITTLE_DONE_PERCENT: u8 = 15;
/// Tasks moved in one tick, so that a full fleet does not spend its store's writes on moves alone.
const MOVES_AT_ONCE: u32 = 30;
/// How long a tail may stay over its bound before all that fills beside it stands still, in
/// milliseconds: four looks, in which paces by blame did not help.
const OVER_TOO_LONG_MS: u64 = 1_600;

impl Coordinator {
    /// Sets the pace of what fills on a minion by the tail latencies of what serves there.
    ///
    /// Users of a serving task notice slow answers while something beside it works too hard, and
    /// the measured tail is the only sign. What was learnt of images tells whom to slow down and how far,
    /// from what they really used, so that a change which has not shown yet is not made twice. If a tail
    /// stays over its bound all the same, everything that fills there stands still.
    pub(super) fn adjust_pace(&mut self, id: &Name, now: Now) {
        self.observe_gauges(id, now);
        self.change_paces(id, now);
        self.refresh_room(id);
    }

    fn change_paces(&mut self, id: &Name, now: Now) {
        let Some(minion) = self.minions.get(id) else { return };
        if minion.fill_images.is_empty() {
            return;
        }
        let worst = minion.serving_images.values().map(|serving| serving.tail).fold(0.0, f64::max);
        let stand_still = minion.over_for_ms >= OVER_TOO_LONG_MS;
        let mut changes = Vec::new();
        for (image, bearable) in self.bearable_paces(minion) {
            let present = minion.fill_images.get(&image).map_or(100, |filling| filling.percent);
            let wanted = if stand_still || bearable < LEAST_PERCENT { 0 } else { bearable };
            if is_worth_an_order(present, wanted) {
                changes.push((image, wanted));
            }
        }
        for (image, percent) in changes {
            self.set_pace(id, &image, percent, worst, now);
        }
    }

    fn set_pace(&mut self, id: &Name, filling: &Name, percent: u8, tail: f64, now: Now) {
        let Some(minion) = self.minions.get_mut(id) else { return };
        let Some(present) = minion.fill_images.get_mut(filling) else { return };
        let before = std::mem::replace(&mut present.percent, percent);
        if before == percent {
            return;
        }
        let tasks = self.filling_on(id, filling);
        self.note(format!(
            "decision=pace minion={id} image={filling} from={before} to={percent} tasks={} \
             worst_tail_in_bounds={tail:.2}",
            tasks.len()
        ));
        for task in tasks {
            self.send_pace(task, percent, now);
        }
    }

    fn filling_on(&self, id: &Name, image: &Name) -> Vec<TaskId> {
        let Some(minion) = self.minions.get(id) else { return Vec::new() };
        let ours = |task: &&TaskId| {
            self.step_spec(**task).is_some_and(|s| s.best_effort && s.image == *image)
        };
        minion.runs.iter().filter(ours).copied().collect()
    }

    /// Moves what has been slowed down to where it can work.
    ///
    /// A task that was placed well is slowed down once the users of its neighbours become more. Its
    /// own users would wait for as long as that lasts, while other minions have room for it.
    pub(super) fn move_throttled(&mut self, now: Now) {
        let throttled: Vec<TaskId> = self
            .runs
            .iter()
            .filter(|(_, run)| matches!(run.order, OrderState::Started { .. }))
            .filter(|(_, run)| {
                run.throttled_ms.is_some_and(|since| now.steady_ms >= since + THROTTLED_MS)
            })
            .map(|(task, _)| *task)
            .collect();
        let mut moved = 0;
        for task in throttled {
            let Some((percent, minion)) =
                self.runs.get(&task).map(|run| (run.percent, run.place.minion.clone()))
            else {
                continue;
            };
            let keeps = self.step_spec(task).is_some_and(|step| step.checkpoints);
            let cheap = keeps || percent < LITTLE_DONE_PERCENT;
            if !cheap || moved >= MOVES_AT_ONCE || !self.has_other_place(task, now) {
                continue;
            }
            moved += 1;
            self.note(format!(
                "decision=move_throttled job={} task={task} from={minion}",
                task.job
            ));
            self.stop_run(task, now);
        }
    }
}

/// Returns whether a change of pace is worth its orders: a large one, or one that ends standing still or
/// slowness.
const fn is_worth_an_order(present: u8, wanted: u8) -> bool {
    let ends = (wanted == 0) != (present == 0) || (wanted == 100) != (present == 100);
    wanted.abs_diff(present) >= LEAST_CHANGE || ends
}
