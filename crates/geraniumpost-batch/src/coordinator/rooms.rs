//! How much the serving tasks of each minion can still bear of what fills beside them.

use geraniumpost_schema::Name;

use super::Coordinator;
use super::minion::Minion;
use crate::interference::{Pressure, ServingGroup, bearable_shares};
use crate::tuning::{FILL_TO_TAIL, PLACE_DEVIATIONS};
use crate::{StepSpec, TaskId};

/// Least utilization that counts as left, so that no share is divided by nothing.
const LEAST_LEFT: f64 = 0.01;

/// What one group of serving tasks can still bear.
#[derive(Debug, Clone)]
pub(super) struct Room {
    /// Its image.
    image: Name,
    /// How much its utilization may rise before its tail reaches [`FILL_TO_TAIL`]; negative if it is over.
    left: f64,
    /// Variance of what the filling tasks there add to its utilization.
    variance: f64,
}

impl Room {
    /// Returns how much its utilization may rise if what fills there disturbs more than is believed.
    fn surely_left(&self) -> f64 {
        self.left - PLACE_DEVIATIONS * self.variance.sqrt()
    }

    /// Returns by how much less is surely left beside a task that adds so much, and so much uncertainty.
    fn taken(&self, adds: f64, variance: f64) -> f64 {
        adds + PLACE_DEVIATIONS * ((self.variance + variance).sqrt() - self.variance.sqrt())
    }
}

/// How fast a filling task would work on a minion, and what it would do there.
#[derive(Debug, Clone, Copy)]
pub(super) struct FillSpeed {
    /// Share of its speed, from 0 to 1, for which processors are unused.
    pub(super) unused: f64,
    /// Share of its speed, from 0 to 1, at which it harms nobody by what is believed.
    pub(super) harmless: f64,
    /// The same if it disturbs more than is believed.
    pub(super) surely_harmless: f64,
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
            let most = self.interference.utilization_at(&spec.image, FILL_TO_TAIL);
            let left = most - self.interference.own(&spec.image, &group);
            rooms.push(Room { image: spec.image.clone(), left, variance: 0.0 });
        }
        rooms
    }

    /// Works out anew what a minion's serving tasks can bear beside what fills there at its paces;
    /// placements read it many times.
    pub(super) fn refresh_room(&mut self, id: &Name) {
        let Some(minion) = self.minions.get(id) else { return };
        let mut rooms = self.bearable(minion);
        for room in &mut rooms {
            for (image, filling) in &minion.fill_images {
                let share = minion.share(filling.at(filling.percent));
                room.left -= self.interference.adds(&room.image, image, share);
                room.variance += self.interference.deviation(&room.image, image, share).powi(2);
            }
        }
        if let Some(minion) = self.minions.get_mut(id) {
            minion.rooms = rooms;
        }
    }

    /// Returns how fast a task of a filling step would work on a minion.
    ///
    /// What it does there is told as it is believed, and on the safe side. By the mean of all pairs alone, an
    /// image that disturbs hard would be tried at full width before a look has shown its effect.
    pub(super) fn fill_speed(&self, minion: &Minion, spec: &StepSpec) -> FillSpeed {
        let milli_cpus = spec.demand.milli_cpus;
        let unused = minion.unused_milli_cpus().max(0) as f64;
        let wanted = (minion.fill_cpus + milli_cpus).max(1) as f64;
        let share = minion.share(milli_cpus as f64);
        let unused = (unused / wanted).min(1.0);
        let mut speed = FillSpeed { unused, harmless: 1.0, surely_harmless: 1.0, spent: 0.0 };
        let filling = minion.fill_images.get(&spec.image);
        let there = filling.map_or(0.0, |filling| minion.share(filling.at(filling.percent)));
        for room in &minion.rooms {
            let adds = self.interference.adds(&room.image, &spec.image, share);
            // Tasks of one image are off by the same, so that their deviations add up.
            let before = self.interference.deviation(&room.image, &spec.image, there);
            let after = self.interference.deviation(&room.image, &spec.image, there + share);
            let taken = room.taken(adds, after.powi(2) - before.powi(2));
            let surely_left = room.surely_left();
            speed.harmless = speed.harmless.min(bearable_share(adds, room.left));
            let surely = bearable_share(taken, surely_left);
            speed.surely_harmless = speed.surely_harmless.min(surely);
            speed.spent = speed.spent.max((taken / surely_left.max(LEAST_LEFT)).min(1.0));
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
            let adds = rooms.iter().map(|room| self.interference.adds(&room.image, image, share));
            Pressure { processors, adds: adds.collect() }
        };
        let pressures: Vec<Pressure> = minion.fill_images.iter().map(pressure).collect();
        let shares = bearable_shares(&room, &pressures);
        let paces = shares.into_iter().map(|share| (share * 100.0) as u8);
        minion.fill_images.keys().cloned().zip(paces).collect()
    }

    /// Enters or removes a run in what serves and what fills on its minion.
    pub(super) fn count_images(&mut self, task: TaskId, id: &Name, enters: bool) {
        let Some(step) = self.step_spec(task).cloned() else { return };
        let Some(minion) = self.minions.get_mut(id) else { return };
        let change = if enters { 1 } else { -1 };
        if step.fills {
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

/// Returns the share, from 0 to 1, of what a task adds that is not more than what is left.
fn bearable_share(adds: f64, left: f64) -> f64 {
    if adds > left { (left / adds).max(0.0) } else { 1.0 }
}
