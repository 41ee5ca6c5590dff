use std::collections::BTreeMap;

use geraniumpost_core::placement::Interner;
use geraniumpost_schema::Name;

use super::{ServingGroup, ServingImage, Slope};
use crate::{InterferencePair, InterferenceSnapshot};

/// Maximum number of distinct best-effort images. Further images share the last index, which keeps
/// matrices small.
const MAX_BEST_EFFORT_IMAGES: usize = 60;
/// Number of serving images above which images without tasks are removed. A few dozen images have
/// tasks at the same time, and each image takes up to 30 KB of memory.
const MAX_SERVING_IMAGES: usize = 200;
/// Maximum number of pairs in a snapshot; each pair takes about 30 bytes in the store.
const MAX_SNAPSHOT_PAIRS: usize = 600;

/// Learned interference between images. Measurements of all minions contribute to it.
#[derive(Debug, Default)]
pub struct InterferenceModel {
    /// Assigns each best-effort image its index in the slopes of all serving images.
    best_effort: Interner,
    serving: BTreeMap<Name, ServingImage>,
}

impl InterferenceModel {
    /// Learns from the tail latency of a serving group, as a multiple of its bound. `cpu_shares`
    /// holds the share of the minion's processors, from 0 to 1, that each best-effort image used at
    /// that time.
    pub fn observe(
        &mut self,
        image: &Name,
        group: &ServingGroup,
        tail_latency_ratio: f64,
        cpu_shares: &BTreeMap<Name, f64>,
        now_ms: u64,
    ) {
        let mut shares = Vec::new();
        for (best_effort, share) in cpu_shares {
            let index = self.best_effort_index(best_effort);
            shares.resize(shares.len().max(index + 1), 0.0);
            shares[index] += share;
        }
        self.serving.entry(image.clone()).or_default().observe(
            group,
            tail_latency_ratio,
            &shares,
            now_ms,
        );
    }

    fn best_effort_index(&mut self, best_effort: &Name) -> usize {
        (self.best_effort.intern(best_effort) as usize).min(MAX_BEST_EFFORT_IMAGES - 1)
    }

    /// Returns the utilization at which a serving image reaches a tail latency, given as a multiple
    /// of its bound.
    pub fn utilization_at(&self, image: &Name, tail_latency_ratio: f64) -> f64 {
        let unseen = ServingImage::default();
        self.serving.get(image).unwrap_or(&unseen).utilization(tail_latency_ratio)
    }

    /// Returns the estimated utilization of a group by its user load, without the effect of
    /// best-effort tasks.
    pub fn user_utilization(&self, image: &Name, group: &ServingGroup) -> f64 {
        let unseen = ServingImage::default();
        self.serving.get(image).unwrap_or(&unseen).user_utilization(group)
    }

    /// Returns the utilization that a best-effort image adds to a serving image if it uses a share,
    /// from 0 to 1, of the minion's processors.
    pub fn added_utilization(&self, serving: &Name, best_effort: &Name, share: f64) -> f64 {
        self.slope(serving, best_effort).mean * share
    }

    /// Returns the estimated slope of a best-effort image for a serving image.
    pub fn slope(&self, serving: &Name, best_effort: &Name) -> Slope {
        let index = self
            .best_effort
            .get(best_effort)
            .map(|index| (index as usize).min(MAX_BEST_EFFORT_IMAGES - 1));
        self.serving.get(serving).map_or(Slope::UNKNOWN, |known| known.slope(index))
    }

    /// Returns a snapshot for a successor. If there are too many pairs, the snapshot holds those
    /// with the smallest deviations.
    pub fn snapshot(&self) -> InterferenceSnapshot {
        let mut pairs = Vec::new();
        for (serving, known) in &self.serving {
            for (best_effort, index) in
                self.best_effort.names().iter().zip(0..MAX_BEST_EFFORT_IMAGES)
            {
                let Slope { mean: slope, deviation } = known.slopes.get(index);
                if deviation < Slope::UNKNOWN.deviation {
                    let (serving, best_effort) = (serving.clone(), best_effort.clone());
                    pairs.push(InterferencePair { serving, best_effort, slope, deviation });
                }
            }
        }
        pairs.sort_by(|a, b| a.deviation.total_cmp(&b.deviation));
        pairs.truncate(MAX_SNAPSHOT_PAIRS);
        let idle_tail_latency_ratios = self
            .serving
            .iter()
            .map(|(image, known)| (image.clone(), known.idle_tail_latency_ratio));
        InterferenceSnapshot {
            pairs,
            idle_tail_latency_ratios: idle_tail_latency_ratios.take(MAX_SERVING_IMAGES).collect(),
        }
    }

    /// Restores the snapshot of a predecessor. Pairs with values that are negative or not finite
    /// are ignored.
    pub fn restore(&mut self, snapshot: &InterferenceSnapshot) {
        for pair in &snapshot.pairs {
            let valid = |value: f64| value.is_finite() && value >= 0.0;
            if !valid(pair.slope) || !valid(pair.deviation) {
                continue;
            }
            let index = self.best_effort_index(&pair.best_effort);
            let slope = Slope { mean: pair.slope, deviation: pair.deviation };
            self.serving.entry(pair.serving.clone()).or_default().slopes.restore(index, slope);
        }
        for (image, tail_latency_ratio) in snapshot
            .idle_tail_latency_ratios
            .iter()
            .filter(|(_, tail_latency_ratio)| *tail_latency_ratio > 0.0)
        {
            self.serving.entry(image.clone()).or_default().idle_tail_latency_ratio =
                *tail_latency_ratio;
        }
    }

    /// Removes groups that no longer exist, and serving images without groups if there are too
    /// many. New images appear for as long as the process runs, and each image takes memory.
    pub fn retain_groups(&mut self, exists: impl Fn(&ServingGroup) -> bool) {
        for known in self.serving.values_mut() {
            known.retain(&exists);
        }
        if self.serving.len() > MAX_SERVING_IMAGES {
            self.serving.retain(|_, known| !known.has_no_groups());
        }
    }
}
