//! Learning of interference from the measurements of minions, and its snapshot for a successor.

use std::collections::BTreeMap;

use geraniumpost_schema::Name;

use super::Coordinator;
use crate::interference::ServingGroup;
use crate::tuning::INTERFERENCE_WRITE_INTERVAL_MS;
use crate::{InterferenceSnapshot, Now, TaskId};

/// Measurements of the runs on a minion, from its last poll.
#[derive(Debug, Default)]
struct MinionMeasurements {
    /// Tail latencies of each group of serving tasks, as multiples of their bound.
    tail_latency_ratios: BTreeMap<(Name, ServingGroup), Vec<f64>>,
    /// Share of the minion's processors that each best-effort image used.
    cpu_shares: BTreeMap<Name, f64>,
    /// Serving tasks, and whether they are over their latency bounds.
    over_latency_bound: Vec<(TaskId, bool)>,
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

    /// Updates the interference model with the last measurements of a minion's runs, and the
    /// minion's tail latencies and times over the latency bound, which pacing reads.
    pub(super) fn learn_from_measurements(&mut self, id: &Name, now: Now) {
        let MinionMeasurements { tail_latency_ratios, cpu_shares, over_latency_bound } =
            self.collect_measurements(id);
        self.update_times_over_latency_bound(id, over_latency_bound, now);
        let mut worst: BTreeMap<Name, f64> = BTreeMap::new();
        for ((image, group), tail_latency_ratios) in tail_latency_ratios {
            let tail_latency_ratio = lower_median(tail_latency_ratios);
            self.interference.observe(
                &image,
                &group,
                tail_latency_ratio,
                &cpu_shares,
                now.steady_ms,
            );
            let image_tail_latency_ratio = worst.entry(image).or_default();
            *image_tail_latency_ratio = image_tail_latency_ratio.max(tail_latency_ratio);
        }
        let Some(minion) = self.minions.get_mut(id) else { return };
        for (image, tail_latency_ratio) in worst {
            minion.serving_images.entry(image).or_default().tail_latency_ratio = tail_latency_ratio;
        }
    }

    fn collect_measurements(&self, id: &Name) -> MinionMeasurements {
        let mut measurements = MinionMeasurements::default();
        let Some(minion) = self.minions.get(id) else { return measurements };
        let milli_cpus = minion.info.capacity.milli_cpus.max(1) as f64;
        for task in &minion.runs {
            let (Some(run), Some(step)) = (self.runs.get(task), self.step_spec(*task)) else {
                continue;
            };
            if step.is_serving() && run.progress_percent == 100 && run.measurement > 0 {
                let tail_latency_ratio =
                    f64::from(run.measurement) / f64::from(step.latency_bound_ms);
                let group = (step.image.clone(), ServingGroup::of(*task, id));
                measurements.tail_latency_ratios.entry(group).or_default().push(tail_latency_ratio);
                measurements.over_latency_bound.push((*task, tail_latency_ratio > 1.0));
            } else if step.best_effort && run.started_ms.is_some() {
                let cpu_shares = measurements.cpu_shares.entry(step.image.clone()).or_default();
                *cpu_shares += f64::from(run.measurement) / milli_cpus;
            }
        }
        measurements
    }

    /// Updates the time at which each serving run began to exceed its latency bound, and the
    /// longest time for which any run on the minion has exceeded its bound.
    fn update_times_over_latency_bound(
        &mut self,
        id: &Name,
        over_latency_bound: Vec<(TaskId, bool)>,
        now: Now,
    ) {
        let mut longest_ms = 0;
        for (task, is_over) in over_latency_bound {
            let Some(run) = self.runs.get_mut(&task) else { continue };
            run.over_latency_bound_since_ms =
                is_over.then(|| run.over_latency_bound_since_ms.unwrap_or(now.steady_ms));
            let since_ms =
                run.over_latency_bound_since_ms.map_or(0, |since| now.steady_ms - since + 1);
            longest_ms = longest_ms.max(since_ms);
        }
        if let Some(minion) = self.minions.get_mut(id) {
            minion.over_latency_bound_ms = longest_ms;
        }
    }
}

/// Returns the lower median of the tail latencies of a group's tasks.
///
/// Occasionally a single task shows several times the tail latency of the others for a second,
/// without any cause on its minion. The maximum would attribute such a peak to best-effort tasks on
/// the same minion and throttle them needlessly.
fn lower_median(mut tail_latency_ratios: Vec<f64>) -> f64 {
    tail_latency_ratios.sort_unstable_by(f64::total_cmp);
    tail_latency_ratios.get(tail_latency_ratios.len().saturating_sub(1) / 2).copied().unwrap_or(0.0)
}
