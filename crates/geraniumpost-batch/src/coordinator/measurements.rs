//! Learning interference from minions' gauges, and passing it on to a successor.

use std::collections::BTreeMap;

use geraniumpost_schema::Name;

use super::Coordinator;
use crate::interference::ServingGroup;
use crate::tuning::INTERFERENCE_WRITE_INTERVAL_MS;
use crate::{InterferenceSnapshot, Now, TaskId};

/// Gauges of one poll of a minion.
#[derive(Debug, Default)]
struct Gauges {
    /// Tail latencies of each group of serving tasks, as multiples of their bound.
    tails: BTreeMap<(Name, ServingGroup), Vec<f64>>,
    /// Share of the minion's processors that each best-effort image used.
    used: BTreeMap<Name, f64>,
    /// Serving tasks, and whether they are over their bounds.
    over: Vec<(TaskId, bool)>,
}

impl Coordinator {
    /// Loads interference that a predecessor learned.
    #[must_use]
    pub fn with_interference(mut self, snapshot: &InterferenceSnapshot) -> Self {
        self.interference.restore(snapshot);
        self
    }

    /// Returns the encoded interference for a successor, if the next write is due.
    pub(super) fn interference_to_write(&mut self, now: Now) -> Option<Vec<u8>> {
        if now.steady_ms < self.interference_written_ms + INTERFERENCE_WRITE_INTERVAL_MS {
            return None;
        }
        self.interference_written_ms = now.steady_ms;
        let snapshot = self.interference.snapshot();
        (!snapshot.pairs.is_empty()).then(|| snapshot.encode())
    }

    /// Removes the state of serving groups that have no runs left.
    pub(super) fn prune_serving_groups(&mut self) {
        let minions = &self.minions;
        self.interference.retain_groups(|group| {
            let last = TaskId { index: u32::MAX, ..group.step };
            let minion = minions.get(&group.minion);
            minion.is_some_and(|minion| minion.runs.range(group.step..=last).next().is_some())
        });
    }

    /// Updates the interference model from a minion's gauges.
    pub(super) fn observe_gauges(&mut self, id: &Name, now: Now) {
        let Gauges { tails, used, over } = self.read_gauges(id);
        self.update_over_bound(id, over, now);
        let mut worst: BTreeMap<Name, f64> = BTreeMap::new();
        for ((image, group), tails) in tails {
            let tail = lower_median(tails);
            self.interference.observe(&image, &group, tail, &used, now.steady_ms);
            let image_tail = worst.entry(image).or_default();
            *image_tail = image_tail.max(tail);
        }
        let Some(minion) = self.minions.get_mut(id) else { return };
        for (image, tail) in worst {
            minion.serving_images.entry(image).or_default().tail = tail;
        }
    }

    fn read_gauges(&self, id: &Name) -> Gauges {
        let mut gauges = Gauges::default();
        let Some(minion) = self.minions.get(id) else { return gauges };
        let milli_cpus = minion.info.capacity.milli_cpus.max(1) as f64;
        for task in &minion.runs {
            let (Some(run), Some(step)) = (self.runs.get(task), self.step_spec(*task)) else {
                continue;
            };
            if step.is_serving() && run.progress_percent == 100 && run.measurement > 0 {
                let tail = f64::from(run.measurement) / f64::from(step.latency_bound_ms);
                let group = (step.image.clone(), ServingGroup::of(*task, id));
                gauges.tails.entry(group).or_default().push(tail);
                gauges.over.push((*task, tail > 1.0));
            } else if step.best_effort && run.started_ms.is_some() {
                let used = gauges.used.entry(step.image.clone()).or_default();
                *used += f64::from(run.measurement) / milli_cpus;
            }
        }
        gauges
    }

    /// Records which serving tasks are over their bounds, and since when.
    fn update_over_bound(&mut self, id: &Name, over: Vec<(TaskId, bool)>, now: Now) {
        let mut longest_ms = 0;
        for (task, is_over) in over {
            let Some(run) = self.runs.get_mut(&task) else { continue };
            run.over_bound_since_ms =
                is_over.then(|| run.over_bound_since_ms.unwrap_or(now.steady_ms));
            let since_ms = run.over_bound_since_ms.map_or(0, |since| now.steady_ms - since + 1);
            longest_ms = longest_ms.max(since_ms);
        }
        if let Some(minion) = self.minions.get_mut(id) {
            minion.over_bound_ms = longest_ms;
        }
    }
}

/// Returns the lower median of tail latencies.
///
/// A single task occasionally shows several times its neighbours' tail latency for a second,
/// without any cause on its minion. Using the maximum would attribute that to best-effort tasks
/// beside it and throttle them needlessly.
fn lower_median(mut tails: Vec<f64>) -> f64 {
    tails.sort_unstable_by(f64::total_cmp);
    tails.get(tails.len().saturating_sub(1) / 2).copied().unwrap_or(0.0)
}
