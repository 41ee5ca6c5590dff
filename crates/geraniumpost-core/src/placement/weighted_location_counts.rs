use super::location_counts::LocationCounts;
use super::planned_fleet::PlannedWorker;

/// Weight of a task in the same failure domain, relative to a task on the same rack.
const DOMAIN_WEIGHT: f64 = 0.5;

/// Weighted number of tasks of one customer and class by location. The hash maps of
/// [`LocationCounts`] are copied to vectors once per scan because hashing for each worker would
/// cost more than the rest of the scan.
#[derive(Debug)]
pub struct WeightedLocationCounts {
    /// Number of tasks by rack index.
    racks: Vec<f64>,
    /// Number of tasks by failure domain index, times [`DOMAIN_WEIGHT`].
    domains: Vec<f64>,
}

impl WeightedLocationCounts {
    /// Sums `counts` by location. `location_count` exceeds all location indices.
    pub fn new(location_count: usize, counts: &[Option<&LocationCounts>]) -> Self {
        let mut location_counts =
            Self { racks: vec![0.0; location_count], domains: vec![0.0; location_count] };
        for entry in counts.iter().flatten() {
            for (rack, tasks) in &entry.racks {
                location_counts.racks[*rack as usize] += f64::from(*tasks);
            }
            for (domain, tasks) in &entry.domains {
                location_counts.domains[*domain as usize] += DOMAIN_WEIGHT * f64::from(*tasks);
            }
        }
        location_counts
    }

    /// Returns the number of tasks on the worker's rack plus the weighted number in its failure
    /// domain.
    pub fn weighted_count(&self, row: &PlannedWorker) -> f64 {
        self.racks[row.rack as usize] + self.domains[row.domain as usize]
    }
}
