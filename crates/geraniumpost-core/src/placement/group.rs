use std::collections::HashMap;

/// Where the tasks of one customer and class run, for spreading them.
#[derive(Debug, Clone, Default)]
pub struct Group {
    /// Tasks by rack number.
    pub racks: HashMap<u32, u32>,
    /// Tasks by domain number.
    pub domains: HashMap<u32, u32>,
}

impl Group {
    /// Adds one task.
    pub fn add(&mut self, rack: u32, domain: u32) {
        *self.racks.entry(rack).or_default() += 1;
        *self.domains.entry(domain).or_default() += 1;
    }

    /// Takes one task away.
    pub fn remove(&mut self, rack: u32, domain: u32) {
        take_one(&mut self.racks, rack);
        take_one(&mut self.domains, domain);
    }

    /// Returns whether no task is left.
    pub fn is_empty(&self) -> bool {
        self.racks.is_empty()
    }
}

/// Lowers a count and drops it at 0, so that idle customers cost nothing.
fn take_one(counts: &mut HashMap<u32, u32>, id: u32) {
    if let Some(count) = counts.get_mut(&id) {
        *count -= 1;
        if *count == 0 {
            counts.remove(&id);
        }
    }
}
