use std::collections::BTreeMap;

use geraniumpost_schema::Name;

/// Weight of a queue that has none while other queues have one.
const DEFAULT_WEIGHT: u32 = 1;

/// Weights of queues from the operators' configuration. Queues that compete for capacity divide it
/// in proportion to their weights.
///
/// # Example
///
/// ```
/// use geraniumpost_batch::shares::QueueWeights;
///
/// let weights: QueueWeights = [("lookups".into(), 3)].into_iter().collect();
/// assert_eq!(weights.weight(&"lookups".into()), 3);
/// assert_eq!(weights.weight(&"reports".into()), 1);
/// ```
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub struct QueueWeights(BTreeMap<Name, u32>);

impl QueueWeights {
    /// Returns whether no queue has a weight, so that capacity is not divided by shares.
    pub fn is_empty(&self) -> bool {
        self.0.is_empty()
    }

    /// Returns the weight of a queue, at least 1.
    pub fn weight(&self, queue: &Name) -> u32 {
        self.0.get(queue).copied().unwrap_or(DEFAULT_WEIGHT)
    }

    /// Lists the queues that have a weight.
    pub fn queues(&self) -> impl Iterator<Item = &Name> {
        self.0.keys()
    }
}

impl FromIterator<(Name, u32)> for QueueWeights {
    fn from_iter<I: IntoIterator<Item = (Name, u32)>>(weights: I) -> Self {
        Self(weights.into_iter().filter(|(_, weight)| *weight > 0).collect())
    }
}
