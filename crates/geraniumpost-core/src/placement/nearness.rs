use super::draft::DraftRow;
use super::group::Group;

/// Weight of a task in the same failure domain against one on the same rack.
const DOMAIN_WEIGHT: f64 = 0.5;

/// How many tasks of one customer and class run near each worker, looked up once per scan as
/// hashing for each worker would cost more than the rest of the scan.
#[derive(Debug)]
pub struct Nearness {
    racks: Vec<f64>,
    domains: Vec<f64>,
}

impl Nearness {
    /// Counts the tasks of some groups over `places` racks and domains.
    pub fn new(places: usize, groups: &[Option<&Group>]) -> Self {
        let mut near = Self { racks: vec![0.0; places], domains: vec![0.0; places] };
        for group in groups.iter().flatten() {
            for (rack, count) in &group.racks {
                near.racks[*rack as usize] += f64::from(*count);
            }
            for (domain, count) in &group.domains {
                near.domains[*domain as usize] += DOMAIN_WEIGHT * f64::from(*count);
            }
        }
        near
    }

    /// Returns the weighed count near a worker.
    pub fn of(&self, row: &DraftRow) -> f64 {
        self.racks[row.rack as usize] + self.domains[row.domain as usize]
    }
}
