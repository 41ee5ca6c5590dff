//! How much the serving tasks of each minion can still bear of what fills beside them.

use geraniumpost_schema::Name;

use super::Coordinator;
use super::minion::Minion;
use crate::interference::{Pressure, ServingGroup, speed_limits};
use crate::tuning::BEST_EFFORT_TAIL_LIMIT;
use crate::{StepSpec, TaskId};

/// Least utilization that counts as left, so that no share is divided by nothing.
const LEAST_LEFT: f64 = 0.01;

/// What one group of serving tasks can still bear.
#[derive(Debug, Clone)]
pub(super) struct Room {
    /// Its image.
    image: Name,
    /// How much its utilization may rise before its tail reaches [`BEST_EFFORT_TAIL_LIMIT`]; negative if it is over.
    left: f64,
}

/// How fast a filling task would work on a minion, and what it would do there.
#[derive(Debug, Clone, Copy)]
pub(super) struct FillSpeed {
    /// Share of its speed, from 0 to 1, for which processors are unused.
    pub(super) unused: f64,
    /// Share of its speed, from 0 to 1, at which it harms nobody.
    pub(super) harmless: f64,
    /// Largest part, from 0 to 1, that it would take of what some group can still bear.
    pub(super) spent: f64,
}

impl Coordinator {
    /// Lists what each group of serving tasks on a minion could bear if nothing filled there.
    fn bearable(&self, minion: &Minion) -> Vec<Room> {
        let mut last = None;
        let mut rooms = Vec::new();
        for task in &minion.runs {
            // Tasks of a step follow each other.
            let step = TaskId { index: 0, ..*task };
            if last.replace(step) == Some(step) {
                continue;
            }
            let Some(spec) = self.step_spec(*task).filter(|spec| spec.serves()) else { continue };
            let group = ServingGroup::of(*task, &minion.info.id);
            let most = self.interference.utilization_at(&spec.image, BEST_EFFORT_TAIL_LIMIT);
            let left = most - self.interference.own_utilization(&spec.image, &group);
            rooms.push(Room { image: spec.image.clone(), left });
        }
        rooms
    }

    /// Works out anew what a minion's serving tasks can bear beside what fills there at its paces;
    /// placements read it many times.
    pub(super) fn refresh_room(&mut self, id: &Name) {
        let Some(minion) = self.minions.get(id) else { return };
        let mut rooms = self.bearable(minion);
        for room in &mut rooms {
            let added = |(image, filling): (&Name, &super::filling::Filling)| {
                let share = minion.share(filling.at(filling.percent));
                self.interference.added_utilization(&room.image, image, share)
            };
            room.left -= minion.fill_images.iter().map(added).sum::<f64>();
        }
        if let Some(minion) = self.minions.get_mut(id) {
            minion.rooms = rooms;
        }
    }

    /// Returns how fast a task of a filling step would work on a minion.
    pub(super) fn fill_speed(&self, minion: &Minion, spec: &StepSpec) -> FillSpeed {
        let milli_cpus = spec.demand.milli_cpus;
        let unused = minion.unused_milli_cpus().max(0) as f64;
        let wanted = (minion.fill_cpus + milli_cpus).max(1) as f64;
        let share = minion.share(milli_cpus as f64);
        let unused = (unused / wanted).min(1.0);
        let mut speed = FillSpeed { unused, harmless: 1.0, spent: 0.0 };
        for room in &minion.rooms {
            let adds = self.interference.added_utilization(&room.image, &spec.image, share);
            if adds > room.left {
                speed.harmless = speed.harmless.min((room.left / adds).max(0.0));
            }
            speed.spent = speed.spent.max((adds / room.left.max(LEAST_LEFT)).min(1.0));
        }
        speed
    }

    /// Returns the share, in percent, that each filling image on a minion may work at.
    pub(super) fn bearable_paces(&self, minion: &Minion) -> Vec<(Name, u8)> {
        let rooms = self.bearable(minion);
        let room: Vec<f64> = rooms.iter().map(|room| room.left).collect();
        let pressure = |(image, filling): (&Name, &super::filling::Filling)| {
            let processors = filling.at(100);
            let share = minion.share(processors);
            let adds = rooms
                .iter()
                .map(|room| self.interference.added_utilization(&room.image, image, share));
            Pressure { processors, added_utilization: adds.collect() }
        };
        let pressures: Vec<Pressure> = minion.fill_images.iter().map(pressure).collect();
        let shares = speed_limits(&room, &pressures);
        let paces = shares.into_iter().map(|share| (share * 100.0) as u8);
        minion.fill_images.keys().cloned().zip(paces).collect()
    }

    /// Enters or removes a run in what serves and what fills on its minion.
    pub(super) fn count_images(&mut self, task: TaskId, id: &Name, enters: bool) {
        let Some(step) = self.step_spec(task).cloned() else { return };
        let Some(minion) = self.minions.get_mut(id) else { return };
        let change = if enters { 1 } else { -1 };
        if step.best_effort {
            let filling = minion.fill_images.entry(step.image.clone()).or_default();
            filling.runs += change;
            filling.milli_cpus += i64::from(change) * step.demand.milli_cpus;
            if filling.runs <= 0 {
                minion.fill_images.remove(&step.image);
            }
        } else if step.serves() {
            let serving = minion.serving_images.entry(step.image.clone()).or_default();
            serving.runs = serving.runs.saturating_add_signed(change);
            if serving.runs == 0 {
                minion.serving_images.remove(&step.image);
            }
        } else {
            return;
        }
        self.refresh_room(id);
    }
}
