use geraniumpost_core::Millis;
use geraniumpost_core::placement::{Decision, Fleet, Observation, PlacementRequest};
use rand::rngs::StdRng;

/// What a policy decides.
pub type Decide = Box<dyn FnMut(Millis, &[PlacementRequest], &Fleet, &mut StdRng) -> Vec<Decision>>;
/// What a policy learns from.
pub type Learn = Box<dyn FnMut(Millis, &Observation)>;

/// A policy in the contest.
pub struct Contender {
    /// Whether measured usage reaches the policy's fleet.
    pub measures_usage: bool,
    /// Whether the policy itself says when a job has failed too often.
    pub judges_failures: bool,
    pub decide: Decide,
    pub learn: Learn,
}
