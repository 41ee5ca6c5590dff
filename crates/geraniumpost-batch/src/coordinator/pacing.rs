//! Pacing of best-effort tasks, to keep the tail latency of serving tasks within its bound.

use geraniumpost_schema::Name;

use super::Coordinator;
use super::run::OrderState;
use crate::{Now, TaskId};

/// Pace below which tasks are suspended, in percent.
const MIN_PACE_PERCENT: u8 = 8;
/// Smallest change of pace for which an order is sent, in percentage points; changes to or from
/// suspension or full speed are always sent.
const MIN_PACE_CHANGE_PERCENT: u8 = 10;
/// How long a task is throttled before it is moved, in milliseconds: longer than it takes to revert
/// most changes of pace, but short, because each second of delay makes a whole job late.
const MAX_THROTTLED_MS: u64 = 300;
/// Progress in percent below which a throttled task without checkpoints is moved although it loses
/// that progress.
const MAX_RESTART_PROGRESS_PERCENT: u8 = 15;
/// Maximum number of tasks moved in one tick. Without this limit, a full fleet would spend all
/// writes to the store on moves.
const MAX_MOVES_PER_TICK: u32 = 30;
/// How long the tail latency of a serving task may exceed its bound before all best-effort tasks on
/// its minion are suspended, in milliseconds: four polls, in which pacing by learned interference
/// has not helped.
const MAX_OVER_LATENCY_BOUND_MS: u64 = 1_600;

impl Coordinator {
    /// Sets the paces of best-effort tasks on a minion by the tail latencies of its serving tasks.
    ///
    /// A best-effort task that uses too much of a minion slows the serving tasks there, and only
    /// their measured tail latency shows the slowdown. Learned interference determines which image
    /// to throttle and how far. The user load is estimated by subtracting the interference of the
    /// measured processor use from the measured utilization, so that a change of pace that has no
    /// visible effect yet is not made twice. If a tail latency stays over its bound nevertheless,
    /// all best-effort tasks on the minion are suspended.
    pub(super) fn adjust_paces(&mut self, id: &Name, now: Now) {
        self.learn_from_measurements(id, now);
        self.update_disturbance(id, now);
        self.order_due_pace_changes(id, now);
        self.refresh_headroom(id);
    }

    /// Sends pace orders for the images whose tolerated pace differs enough from their current pace
    /// (see [`is_pace_order_due`]). Suspends all best-effort tasks if a tail latency has exceeded
    /// its bound for [`MAX_OVER_LATENCY_BOUND_MS`].
    pub(super) fn order_due_pace_changes(&mut self, id: &Name, now: Now) {
        let Some(minion) = self.minions.get(id) else { return };
        if minion.best_effort_images.is_empty() {
            return;
        }
        let worst = minion
            .serving_images
            .values()
            .map(|serving| serving.tail_latency_ratio)
            .fold(0.0, f64::max);
        let suspend = minion.over_latency_bound_ms >= MAX_OVER_LATENCY_BOUND_MS;
        let mut changes = Vec::new();
        for (image, tolerated) in self.tolerated_paces(minion) {
            let current =
                minion.best_effort_images.get(&image).map_or(100, |tasks| tasks.pace_percent);
            let limit =
                minion.best_effort_images.get(&image).map_or(100, |t| t.ramp.limit_percent());
            let tolerated = tolerated.min(limit);
            let wanted = if suspend || tolerated < MIN_PACE_PERCENT { 0 } else { tolerated };
            if is_pace_order_due(current, wanted) {
                changes.push((image, wanted));
            }
        }
        for (image, percent) in changes {
            self.set_image_pace(id, &image, percent, worst, now);
        }
    }

    /// Sets the pace of one image on a minion, and sends it to each of the image's runs there.
    fn set_image_pace(
        &mut self,
        id: &Name,
        image: &Name,
        percent: u8,
        tail_latency_ratio: f64,
        now: Now,
    ) {
        let Some(minion) = self.minions.get_mut(id) else { return };
        let Some(current) = minion.best_effort_images.get_mut(image) else { return };
        let before = std::mem::replace(&mut current.pace_percent, percent);
        if before == percent {
            return;
        }
        let tasks = self.best_effort_tasks_of_image(id, image);
        self.log(format!(
            "decision=pace minion={id} image={image} from={before} to={percent} tasks={} \
             worst_tail_latency_ratio={tail_latency_ratio:.2}",
            tasks.len()
        ));
        for task in tasks {
            self.send_pace(task, percent, now);
        }
    }

    fn best_effort_tasks_of_image(&self, id: &Name, image: &Name) -> Vec<TaskId> {
        let Some(minion) = self.minions.get(id) else { return Vec::new() };
        let matches = |task: &&TaskId| {
            self.step_spec(**task).is_some_and(|s| s.best_effort && s.image == *image)
        };
        minion.runs.iter().filter(matches).copied().collect()
    }

    /// Stops throttled tasks that another minion accepts, so that the tasks continue on that
    /// minion.
    ///
    /// A task is throttled when the user load of serving tasks on its minion rises after its
    /// placement. The task's job would be delayed while the load is high, although other minions
    /// have free resources.
    pub(super) fn move_throttled_tasks(&mut self, now: Now) {
        let throttled: Vec<TaskId> = self
            .runs
            .iter()
            .filter(|(_, run)| matches!(run.order, OrderState::Started { .. }))
            .filter(|(_, run)| {
                run.throttled_since_ms
                    .is_some_and(|since| now.steady_ms >= since + MAX_THROTTLED_MS)
            })
            .map(|(task, _)| *task)
            .collect();
        let mut moved = 0;
        for task in throttled {
            let Some((percent, minion)) =
                self.runs.get(&task).map(|run| (run.progress_percent, run.place.minion.clone()))
            else {
                continue;
            };
            let checkpoints = self.step_spec(task).is_some_and(|step| step.checkpoints);
            let cheap = checkpoints || percent < MAX_RESTART_PROGRESS_PERCENT;
            if !cheap || moved >= MAX_MOVES_PER_TICK || !self.has_eligible_minion(task, now) {
                continue;
            }
            moved += 1;
            self.log(format!("decision=move_throttled job={} task={task} from={minion}", task.job));
            self.stop_run(task, now);
        }
    }
}

/// Returns whether an order is sent for a change of pace: a large change, or one to or from
/// suspension or full speed. Both paces are in percent.
const fn is_pace_order_due(current: u8, wanted: u8) -> bool {
    let crosses_limit = (wanted == 0) != (current == 0) || (wanted == 100) != (current == 100);
    wanted.abs_diff(current) >= MIN_PACE_CHANGE_PERCENT || crosses_limit
}
