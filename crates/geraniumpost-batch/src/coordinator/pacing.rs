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
const LEAST_PERCENT: u8 = 8;
/// Steps in which a pace rises again, in percent.
const RISE_PERCENT: u8 = 25;
/// What a pace is multiplied with if nobody in particular is to blame, in percent.
const FALL_PERCENT: u32 = 60;
/// How long a tail may stay over its bound before all that fills beside it stands still, in
/// milliseconds: two changes of pace by blame, and half of the time for which users bear it.
const OVER_TOO_LONG_MS: u64 = 1_500;
/// Share of the excess, in percent, that the blamed images must explain together.
const EXPLAINED_PERCENT: f64 = 50.0;

impl Coordinator {
    /// Sets the pace of what fills on a minion by the tail latencies of what serves there.
    ///
    /// Users of a serving task notice slow answers while something beside it works too hard, and
    /// the measured tail is the only sign. Those images are paced down that the model of pairs
    /// blames, as far as it blames them; the others work on.
    pub(super) fn adjust_pace(&mut self, id: &Name, now: Now) {
        self.observe_harm(id, now);
        let Some(minion) = self.minions.get(id) else { return };
        if now.steady_ms < minion.paced_ms + PACE_EVERY_MS || minion.fill_images.is_empty() {
            return;
        }
        let (hot, cool) = (f64::from(HOT_PERCENT) / 100.0, f64::from(COOL_PERCENT) / 100.0);
        let worst = minion.serving_images.iter().max_by(|a, b| a.1.tail.total_cmp(&b.1.tail));
        let (image, tail) = worst.map_or_else(Default::default, |(i, s)| (i.clone(), s.tail));
        let changes = if minion.over_for_ms >= OVER_TOO_LONG_MS {
            self.stand_still(id)
        } else if tail >= hot {
            self.slow_down(id, &image, tail - cool)
        } else if tail <= cool {
            self.speed_up(id, cool - tail)
        } else {
            Vec::new()
        };
        if changes.is_empty() {
            return;
        }
        if let Some(minion) = self.minions.get_mut(id) {
            minion.paced_ms = now.steady_ms;
        }
        for (filling, percent) in changes {
            self.set_pace(id, &filling, percent, &image, tail);
        }
    }

    /// Chooses who works slower, so that the tail of a serving image falls by `excess` bounds.
    fn slow_down(&self, id: &Name, serving: &Name, excess: f64) -> Vec<(Name, u8)> {
        let Some(minion) = self.minions.get(id) else { return Vec::new() };
        let blame = self.blame(minion, serving);
        let explained: f64 = blame.iter().map(|(_, adds)| adds).sum();
        let pace = |image: &Name| minion.fill_images.get(image).map_or(100, |f| f.percent);
        if explained * 100.0 < excess * EXPLAINED_PERCENT {
            let all = blame.into_iter().map(|(image, _)| {
                let percent = (u32::from(pace(&image)) * FALL_PERCENT / 100) as u8;
                (image, at_least(percent))
            });
            return all.collect();
        }
        let mut left = excess;
        let mut changes = Vec::new();
        for (image, adds) in blame {
            if left <= 0.0 || adds <= 0.0 {
                break;
            }
            let share = (1.0 - left / adds).max(0.0);
            left -= adds;
            let percent = (f64::from(pace(&image)) * share) as u8;
            changes.push((image, at_least(percent)));
        }
        changes
    }

    /// Lets all that fills stand still: whoever was blamed, the tail has not come down.
    fn stand_still(&self, id: &Name) -> Vec<(Name, u8)> {
        let Some(minion) = self.minions.get(id) else { return Vec::new() };
        minion.fill_images.keys().map(|image| (image.clone(), 0)).collect()
    }

    /// Chooses who may work faster, the least harmful first, as far as the tail leaves room.
    fn speed_up(&self, id: &Name, room: f64) -> Vec<(Name, u8)> {
        let Some(minion) = self.minions.get(id) else { return Vec::new() };
        let mut left = room;
        let mut changes = Vec::new();
        let mut slowed: Vec<_> =
            minion.fill_images.iter().filter(|(_, filling)| filling.percent < 100).collect();
        slowed.sort_by(|a, b| b.1.percent.cmp(&a.1.percent));
        for (image, filling) in slowed {
            if left <= 0.0 {
                break;
            }
            let percent = filling.percent.saturating_add(RISE_PERCENT).min(100);
            let rise = f64::from(percent - filling.percent) / 100.0 * filling.milli_cpus as f64;
            let class = self.harm.known_class(image);
            let strength = geraniumpost_core::placement::HarmModel::strength(rise, 0.5);
            let adds = |serving: &Name| self.harm.slope(serving, class) * strength;
            let worst = minion.serving_images.keys().map(adds).fold(0.0, f64::max);
            if worst <= left {
                left -= worst;
                changes.push((image.clone(), percent));
            }
        }
        changes
    }

    fn set_pace(&mut self, id: &Name, filling: &Name, percent: u8, serving: &Name, tail: f64) {
        let Some(minion) = self.minions.get_mut(id) else { return };
        let Some(present) = minion.fill_images.get_mut(filling) else { return };
        let before = std::mem::replace(&mut present.percent, percent);
        if before == percent {
            return;
        }
        let tasks = self.filling_on(id, filling);
        self.note(format!(
            "decision=pace minion={id} image={filling} from={before} to={percent} tasks={} \
             serving={serving} tail_in_bounds={tail:.2}",
            tasks.len()
        ));
        for task in tasks {
            self.send_pace(task, percent);
        }
    }

    fn filling_on(&self, id: &Name, image: &Name) -> Vec<TaskId> {
        let Some(minion) = self.minions.get(id) else { return Vec::new() };
        let ours =
            |task: &&TaskId| self.step_spec(**task).is_some_and(|s| s.fills && s.image == *image);
        minion.runs.iter().filter(ours).copied().collect()
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
        let known = percent >= 10;
        Some(if known { ran_ms * (100 - percent.min(100)) / percent } else { whole_ms })
    }
}

/// Lets a task stand still rather than crawl.
const fn at_least(percent: u8) -> u8 {
    if percent < LEAST_PERCENT { 0 } else { percent }
}
