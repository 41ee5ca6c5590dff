use super::planned_fleet::PlannedWorker;
use super::task_group::TaskGroup;

/// Weight of a task in the same failure domain, relative to one on the same rack.
const DOMAIN_WEIGHT: f64 = 0.5;

/// Numbers of tasks of one customer and class by location. They are looked up once per scan, as
/// hashing for each worker would cost more than the rest of the scan.
#[derive(Debug)]
pub struct Proximity {
    racks: Vec<f64>,
    domains: Vec<f64>,
}

impl Proximity {
    /// Counts the tasks of some groups over all racks and failure domains.
    pub fn new(locations: usize, groups: &[Option<&TaskGroup>]) -> Self {
        let mut proximity = Self { racks: vec![0.0; locations], domains: vec![0.0; locations] };
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

    /// Returns the weighted number of tasks near a worker.
    pub fn weighted_count(&self, row: &PlannedWorker) -> f64 {
        self.racks[row.rack as usize] + self.domains[row.domain as usize]
    }
}
