use geraniumpost_core::Millis;
use geraniumpost_core::placement::{Decision, Fleet, Observation, PlacementRequest};
use rand::rngs::StdRng;

/// Function that decides on all waiting jobs.
pub type Decide = Box<dyn FnMut(Millis, &[PlacementRequest], &Fleet, &mut StdRng) -> Vec<Decision>>;
/// Function that receives observations of services and tasks.
pub type Observe = Box<dyn FnMut(Millis, &Observation)>;

/// A placement policy of the comparison.
pub struct Policy {
    /// Whether the fleet that the policy is given contains measured usage.
    pub measures_usage: bool,
    /// Whether the policy itself gives up jobs that have failed too often.
    pub limits_attempts: bool,
    pub decide: Decide,
    pub observe: Observe,
}
