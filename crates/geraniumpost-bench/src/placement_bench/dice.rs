use rand::Rng;
use rand::rngs::StdRng;

/// Returns a normal number of mean 0 and deviation 1.
pub fn normal(rng: &mut StdRng) -> f64 {
    let radius = (-2.0 * rng.random_range(1e-12..1.0_f64).ln()).sqrt();
    radius * (std::f64::consts::TAU * rng.random::<f64>()).cos()
}

/// Returns a factor around 1 whose logarithm deviates by `sigma`.
pub fn spread(rng: &mut StdRng, sigma: f64) -> f64 {
    (sigma * normal(rng)).exp()
}
