use std::collections::HashMap;

use geraniumpost_schema::{Name, Resources};

use super::usage_sample::UsageSample;
use super::{PlacementRequest, amounts};

/// Estimates needs of jobs from the measured usage of recent jobs of the same customer and class.
///
/// Declared needs are often far too low. A class that always uses twice its declared memory would
/// fill VMs beyond their memory, and the kernel would kill tasks. The declared need of the next job
/// of the same customer and class is therefore multiplied by the ratio of used to declared
/// resources that sufficed for 85 % of the recent jobs (memory) or for half of them (processors).
#[derive(Debug, Clone, Default)]
pub struct UsageEstimates {
    /// Samples by customer and class.
    samples: HashMap<(Name, Name), UsageSample>,
}

impl UsageEstimates {
    /// Adds a measurement of the usage of `job`, which declared `need`.
    pub fn observe(
        &mut self,
        customer: &Name,
        class: &Name,
        job: &Name,
        need: &Resources,
        usage: &Resources,
    ) {
        let key = (customer.clone(), class.clone());
        self.samples.entry(key).or_default().observe(job, need, usage);
    }

    /// Returns the resources to reserve for a request. The estimate is limited to `limit`, so that
    /// it makes no job impossible, and is at least the declared need.
    pub fn estimate(&self, request: &PlacementRequest, limit: &Resources) -> Resources {
        let key = (request.customer.clone(), request.class.clone());
        let Some(sample) = self.samples.get(&key) else { return request.need };
        amounts::component_max(
            &request.need,
            &amounts::component_min(&sample.scaled(&request.need), limit),
        )
    }
}
