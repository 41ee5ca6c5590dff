use rand::Rng;
use rand::rngs::StdRng;

/// Draws from a normal distribution of mean 0 and standard deviation 1.
pub fn draw_normal(rng: &mut StdRng) -> f64 {
    let radius = (-2.0 * rng.random_range(1e-12..1.0_f64).ln()).sqrt();
    radius * (std::f64::consts::TAU * rng.random::<f64>()).cos()
}

/// Draws a factor around 1 whose logarithm has standard deviation `sigma`.
pub fn draw_log_normal(rng: &mut StdRng, sigma: f64) -> f64 {
    (sigma * draw_normal(rng)).exp()
}
