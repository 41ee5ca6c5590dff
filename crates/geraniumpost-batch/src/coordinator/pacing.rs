//! Keeping what fills from harming what serves.

use geraniumpost_schema::Name;

use super::Coordinator;
use super::run::OrderState;
use crate::tuning::PACE_EVERY_MS;
use crate::{Now, TaskId};

/// Share below which a pace is set to nothing, in percent.
const LEAST_PERCENT: u8 = 8;
/// Smallest change of pace that is worth an order, in percent.
const LEAST_CHANGE: u8 = 10;
/// Largest rise of a pace at once, in percent: the model may be wrong, and the tail shows it late.
const MOST_RISE: u8 = 35;
/// How long a task is held up before it is moved, in milliseconds: longer than most changes of pace take
/// to be taken back, as each second makes a whole job late. `docs/MEASUREMENTS.md` compares.
const HELD_UP_MS: u64 = 300;
/// Progress below which a task without checkpoints is moved all the same, in percent.
const LITTLE_DONE_PERCENT: u8 = 15;
/// Tasks moved in one tick, so that a full fleet does not spend its store's writes on moves alone.
const MOVES_AT_ONCE: u32 = 30;
/// Tail in bounds from which on paces fall with every look; they rise only now and then, so that the
/// effect of one change is seen before the next.
const URGENT_TAIL: f64 = 0.95;
/// How long a tail may stay over its bound before all that fills beside it stands still, in
/// milliseconds: two looks, in which paces by blame did not help.
const OVER_TOO_LONG_MS: u64 = 800;

impl Coordinator {
    /// Sets the pace of what fills on a minion by the tail latencies of what serves there.
    ///
    /// Users of a serving task notice slow answers while something beside it works too hard, and
    /// the measured tail is the only sign. The model of pairs tells whom to slow down and how far;
    /// if a tail stays over its bound all the same, everything that fills there stands still.
    pub(super) fn adjust_pace(&mut self, id: &Name, now: Now) {
        self.observe_harm(id, now);
        self.change_paces(id, now);
        self.refresh_room(id);
    }

    fn change_paces(&mut self, id: &Name, now: Now) {
        let Some(minion) = self.minions.get(id) else { return };
        if minion.fill_images.is_empty() {
            return;
        }
        let worst = minion.serving_images.values().map(|serving| serving.tail).fold(0.0, f64::max);
        let may_rise = now.steady_ms >= minion.paced_ms + PACE_EVERY_MS;
        if !may_rise && worst < URGENT_TAIL {
            return;
        }
        let stand_still = minion.over_for_ms >= OVER_TOO_LONG_MS;
        let mut changes = Vec::new();
        for (image, wanted) in self.bearable_paces(minion) {
            let present = minion.fill_images.get(&image).map_or(100, |filling| filling.percent);
            let wanted =
                if stand_still { 0 } else { wanted.min(present.saturating_add(MOST_RISE)) };
            let wanted = if wanted < LEAST_PERCENT { 0 } else { wanted };
            let enough =
                wanted.abs_diff(present) >= LEAST_CHANGE || (wanted == 0) != (present == 0);
            let rises = wanted > present;
            if (enough || (wanted == 100 && rises)) && (may_rise || !rises) {
                changes.push((image, wanted));
            }
        }
        if changes.is_empty() {
            return;
        }
        if let Some(minion) = self.minions.get_mut(id) {
            minion.paced_ms = now.steady_ms;
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
        let ours =
            |task: &&TaskId| self.step_spec(**task).is_some_and(|s| s.fills && s.image == *image);
        minion.runs.iter().filter(ours).copied().collect()
    }

    /// Moves what has been held up to where it can work.
    ///
    /// A task that was placed well is held up once the users of its neighbours become more. Its
    /// own users would wait for as long as that lasts, while other minions have room for it.
    pub(super) fn move_held_up(&mut self, now: Now) {
        let held_up: Vec<TaskId> = self
            .runs
            .iter()
            .filter(|(_, run)| matches!(run.order, OrderState::Started { .. }))
            .filter(|(_, run)| {
                run.held_up_ms.is_some_and(|since| now.steady_ms >= since + HELD_UP_MS)
            })
            .map(|(task, _)| *task)
            .collect();
        let mut moved = 0;
        for task in held_up {
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
            self.note(format!("decision=move_held_up job={} task={task} from={minion}", task.job));
            self.stop_run(task, now);
        }
    }
}
