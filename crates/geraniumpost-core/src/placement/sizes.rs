use std::collections::HashMap;

use geraniumpost_schema::{Name, Resources};

use super::size_sample::SizeSample;
use super::{PlacementRequest, amounts};

/// Learns how far a customer's jobs of a class outgrow what they declare.
///
/// Declared sizes are far off. A class that always takes twice its size would fill VMs beyond
/// their memory; one would notice by tasks killed for want of memory. So the next task of its like
/// is given what most of the recent ones were seen to take.
#[derive(Debug, Clone, Default)]
pub struct Sizes {
    samples: HashMap<(Name, Name), SizeSample>,
}

impl Sizes {
    /// Learns from one measurement of a task.
    pub fn observe(
        &mut self,
        customer: &Name,
        class: &Name,
        job: &Name,
        need: &Resources,
        usage: &Resources,
    ) {
        let of = (customer.clone(), class.clone());
        self.samples.entry(of).or_default().observe(job, need, usage);
    }

    /// Returns what to reserve for a wish: never less than declared, and never more than `bound`
    /// unless declared, as what was learned must not make a job impossible.
    pub fn learned(&self, wish: &PlacementRequest, bound: &Resources) -> Resources {
        let of = (wish.customer.clone(), wish.class.clone());
        let Some(sample) = self.samples.get(&of) else { return wish.need };
        amounts::component_max(
            &wish.need,
            &amounts::component_min(&sample.grown(&wish.need), bound),
        )
    }
}
