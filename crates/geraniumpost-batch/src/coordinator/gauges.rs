//! Learning from minions' gauges, and handing on what was learnt.

use std::collections::BTreeMap;

use geraniumpost_schema::Name;

use super::Coordinator;
use crate::interference::ServingGroup;
use crate::tuning::INTERFERENCE_WRITE_INTERVAL_MS;
use crate::{InterferenceSnapshot, Now, TaskId};

/// What one look showed of a minion.
#[derive(Debug, Default)]
struct Gauges {
    /// Tails of each group of serving tasks, in bounds.
    tails: BTreeMap<(Name, ServingGroup), Vec<f64>>,
    /// Share of the minion's processors that each filling image used.
    used: BTreeMap<Name, f64>,
    /// Serving tasks, and whether they are over their bounds.
    over: Vec<(TaskId, bool)>,
}

impl Coordinator {
    /// Takes over what a predecessor had learnt of images.
    #[must_use]
    pub fn with_interference(mut self, knowledge: &InterferenceSnapshot) -> Self {
        self.interference.restore(knowledge);
        self
    }

    /// Returns what was learnt of images, if a successor should be told anew.
    pub(super) fn knowledge_due(&mut self, now: Now) -> Option<Vec<u8>> {
        if now.steady_ms < self.told_ms + INTERFERENCE_WRITE_INTERVAL_MS {
            return None;
        }
        self.told_ms = now.steady_ms;
        let knowledge = self.interference.snapshot();
        (!knowledge.pairs.is_empty()).then(|| knowledge.encode())
    }

    /// Forgets what is known of serving tasks that are gone.
    pub(super) fn forget_groups(&mut self) {
        let minions = &self.minions;
        self.interference.retain_groups(|group| {
            let last = TaskId { index: u32::MAX, ..group.step };
            let minion = minions.get(&group.minion);
            minion.is_some_and(|minion| minion.runs.range(group.step..=last).next().is_some())
        });
    }

    /// Learns from a minion's gauges.
    pub(super) fn observe_gauges(&mut self, id: &Name, now: Now) {
        let Gauges { tails, used, over } = self.read_gauges(id);
        self.note_over(id, over, now);
        let mut worst: BTreeMap<Name, f64> = BTreeMap::new();
        for ((image, group), tails) in tails {
            let tail = typical(tails);
            self.interference.observe(&image, &group, tail, &used, now.steady_ms);
            let of_image = worst.entry(image).or_default();
            *of_image = of_image.max(tail);
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
            if step.serves() && run.percent == 100 && run.gauge > 0 {
                let tail = f64::from(run.gauge) / f64::from(step.latency_bound_ms);
                let group = (step.image.clone(), ServingGroup::of(*task, id));
                gauges.tails.entry(group).or_default().push(tail);
                gauges.over.push((*task, tail > 1.0));
            } else if step.best_effort && run.started_ms.is_some() {
                let used = gauges.used.entry(step.image.clone()).or_default();
                *used += f64::from(run.gauge) / milli_cpus;
            }
        }
        gauges
    }

    /// Takes note of which serving tasks are over their bounds, and since when.
    fn note_over(&mut self, id: &Name, over: Vec<(TaskId, bool)>, now: Now) {
        let mut longest_ms = 0;
        for (task, is_over) in over {
            let Some(run) = self.runs.get_mut(&task) else { continue };
            run.over_ms = is_over.then(|| run.over_ms.unwrap_or(now.steady_ms));
            let since_ms = run.over_ms.map_or(0, |since| now.steady_ms - since + 1);
            longest_ms = longest_ms.max(since_ms);
        }
        if let Some(minion) = self.minions.get_mut(id) {
            minion.over_for_ms = longest_ms;
        }
    }
}

/// Returns the lower median of tails.
///
/// A single task now and then shows a tail several times its neighbours' for a second, by nobody's doing.
/// The highest tail would blame what fills beside it, and slow it down for nothing.
fn typical(mut tails: Vec<f64>) -> f64 {
    tails.sort_unstable_by(f64::total_cmp);
    tails.get(tails.len().saturating_sub(1) / 2).copied().unwrap_or(0.0)
}
