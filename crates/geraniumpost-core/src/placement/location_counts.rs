use std::collections::HashMap;

/// Number of tasks of one customer and class at each location, used to spread tasks over racks and
/// failure domains.
#[derive(Debug, Clone, Default)]
pub struct LocationCounts {
    /// Number of tasks by rack index.
    pub racks: HashMap<u32, u32>,
    /// Number of tasks by failure domain index.
    pub domains: HashMap<u32, u32>,
}

impl LocationCounts {
    pub fn add(&mut self, rack: u32, domain: u32) {
        *self.racks.entry(rack).or_default() += 1;
        *self.domains.entry(domain).or_default() += 1;
    }

    pub fn remove(&mut self, rack: u32, domain: u32) {
        decrement(&mut self.racks, rack);
        decrement(&mut self.domains, domain);
    }

    pub fn is_empty(&self) -> bool {
        self.racks.is_empty()
    }
}

/// Decrements a count and removes it at 0, so that customers without tasks use no memory.
fn decrement(counts: &mut HashMap<u32, u32>, index: u32) {
    if let Some(count) = counts.get_mut(&index) {
        *count -= 1;
        if *count == 0 {
            counts.remove(&index);
        }
    }
}
