use super::planned_fleet::PlannedWorker;
use super::task_group::TaskGroup;

/// Weight of a task in the same failure domain, relative to one on the same rack.
const DOMAIN_WEIGHT: f64 = 0.5;

/// Weighted number of tasks of one customer and class by location. The hash maps of [`TaskGroup`]
/// are copied to vectors once per scan, as hashing for each worker would cost more than the rest of
/// the scan.
#[derive(Debug)]
pub struct Proximity {
    /// Number of tasks by rack index.
    racks: Vec<f64>,
    /// Number of tasks by failure domain index, times [`DOMAIN_WEIGHT`].
    domains: Vec<f64>,
}

impl Proximity {
    /// Sums the tasks of `groups` by location. `location_count` exceeds all location indices.
    pub fn new(location_count: usize, groups: &[Option<&TaskGroup>]) -> Self {
        let mut proximity =
            Self { racks: vec![0.0; location_count], domains: vec![0.0; location_count] };
        for group in groups.iter().flatten() {
            for (rack, count) in &group.racks {
                proximity.racks[*rack as usize] += f64::from(*count);
            }
            for (domain, count) in &group.domains {
                proximity.domains[*domain as usize] += DOMAIN_WEIGHT * f64::from(*count);
            }
        }
        proximity
    }

    /// Returns the number of tasks on the worker's rack plus the weighted number in its failure
    /// domain.
    pub fn weighted_count(&self, row: &PlannedWorker) -> f64 {
        self.racks[row.rack as usize] + self.domains[row.domain as usize]
    }
}
