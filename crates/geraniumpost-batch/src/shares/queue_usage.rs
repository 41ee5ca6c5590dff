use std::collections::BTreeMap;

use geraniumpost_schema::Name;

use super::QueueWeights;
use crate::Demand;

/// Time in which the recent usage of a queue decays to about a third, in milliseconds. A queue that
/// had the capacity for itself gives it back within seconds, the time for which callers of other
/// queues wait at most.
const DECAY_MS: f64 = 2_000.0;
/// Recent usage below which an idle queue is forgotten, as a fraction of the capacity.
const MIN_RECENT_SHARE: f64 = 1e-4;

/// What queues use and have used in the last seconds, as dominant shares of their service's
/// capacity.
///
/// The order by what queues hold now alone would let a queue of short tasks have the whole capacity
/// in one moment after another; the order by past usage alone would let one queue take all that
/// becomes free at once.
#[derive(Debug, Clone, Default)]
pub struct QueueUsage {
    held: BTreeMap<Name, f64>,
    recent: BTreeMap<Name, f64>,
    recorded_ms: u64,
}

impl QueueUsage {
    /// Records the shares that queues hold at `now_ms`, on the monotonic clock.
    pub fn record(&mut self, held: BTreeMap<Name, f64>, now_ms: u64) {
        let elapsed_ms = now_ms.saturating_sub(self.recorded_ms) as f64;
        self.recorded_ms = now_ms;
        let kept = (-elapsed_ms / DECAY_MS).exp();
        self.recent.values_mut().for_each(|recent| *recent *= kept);
        for (queue, share) in &self.held {
            *self.recent.entry(queue.clone()).or_insert(0.0) += share * (1.0 - kept);
        }
        self.recent.retain(|_, recent| *recent >= MIN_RECENT_SHARE);
        self.held = held;
    }

    /// Adds a share that a queue has just been given.
    pub fn charge(&mut self, queue: &Name, share: f64) {
        *self.held.entry(queue.clone()).or_insert(0.0) += share;
    }

    /// Returns the share of the capacity that a queue holds.
    pub fn held(&self, queue: &Name) -> f64 {
        self.held.get(queue).copied().unwrap_or(0.0)
    }

    /// Returns a queue's present and recent usage in relation to its weight. The queue with the
    /// smallest value is next.
    pub fn weighted(&self, queue: &Name, weights: &QueueWeights) -> f64 {
        let recent = self.recent.get(queue).copied().unwrap_or(0.0);
        (self.held(queue) + recent) / f64::from(weights.weight(queue))
    }
}

/// Returns the largest of the fractions of each resource in `capacity` that `used` amounts to.
pub fn dominant_share(used: Demand, capacity: Demand) -> f64 {
    let share = |used: i64, capacity: i64| used.max(0) as f64 / capacity.max(1) as f64;
    share(used.milli_cpus, capacity.milli_cpus)
        .max(share(used.memory_mb, capacity.memory_mb))
        .max(share(used.accelerators, capacity.accelerators))
}
