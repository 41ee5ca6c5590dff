/// Factor by which the weight of each new measurement grows, so that old ones fade: they have half
/// the weight after about 1,400 measurements.
const WEIGHT_GROWTH: f64 = 1.0005;
/// Weight scale at which all sums are scaled back.
const RESCALE_THRESHOLD: f64 = 1e6;
/// Gauss-Seidel sweeps per solution. Few are enough, as a solution starts from the previous one.
const SWEEPS: usize = 4;

/// Linear regression that is regularized towards a given prior where there is little evidence.
#[derive(Debug, Clone, Default)]
pub struct RidgeRegression {
    size: usize,
    products: Vec<f64>,
    targets: Vec<f64>,
    solution: Vec<f64>,
    weight_scale: f64,
}

/// One input of a measurement.
#[derive(Debug, Clone, Copy)]
pub struct Input {
    /// Number of the coefficient.
    pub index: usize,
    /// Value that the coefficient is multiplied by.
    pub value: f64,
}

impl RidgeRegression {
    /// Creates a regression without evidence.
    pub fn new() -> Self {
        Self { weight_scale: 1.0, ..Self::default() }
    }

    /// Adds a measurement.
    pub fn observe(&mut self, inputs: &[Input], target: f64, weight: f64) {
        let size = inputs.iter().map(|input| input.index + 1).max().unwrap_or(0);
        self.resize(size);
        let weight = weight * self.weight_scale;
        for row in inputs {
            self.targets[row.index] += weight * row.value * target;
            for column in inputs {
                self.products[row.index * self.size + column.index] +=
                    weight * row.value * column.value;
            }
        }
        self.weight_scale *= WEIGHT_GROWTH;
        if self.weight_scale > RESCALE_THRESHOLD {
            self.rescale();
        }
    }

    /// Updates the solution. `prior` returns the value towards which a coefficient is regularized,
    /// and the strength of the regularization.
    pub fn solve(
        &mut self,
        lower_bound: impl Fn(usize) -> f64,
        prior: impl Fn(usize) -> (f64, f64),
    ) {
        for _ in 0..SWEEPS {
            for index in 0..self.size {
                let row = &self.products[index * self.size..(index + 1) * self.size];
                let others: f64 = row.iter().zip(&self.solution).map(|(a, b)| a * b).sum::<f64>()
                    - row[index] * self.solution[index];
                let (prior_value, strength) = prior(index);
                let strength = strength * self.weight_scale;
                let value = (self.targets[index] - others + strength * prior_value)
                    / (row[index] + strength).max(1e-9);
                self.solution[index] = value.max(lower_bound(index));
            }
        }
    }

    /// Returns a coefficient, or none if no measurement concerned it.
    pub fn coefficient(&self, index: usize) -> Option<f64> {
        (self.evidence(index) > 0.0).then(|| self.solution[index])
    }

    /// Returns the evidence on a coefficient: the weighted sum of its squared inputs.
    pub fn evidence(&self, index: usize) -> f64 {
        if index >= self.size {
            0.0
        } else {
            self.products[index * self.size + index] / self.weight_scale
        }
    }

    fn resize(&mut self, size: usize) {
        if size <= self.size {
            return;
        }
        let mut products = vec![0.0; size * size];
        for row in 0..self.size {
            let old = &self.products[row * self.size..(row + 1) * self.size];
            products[row * size..row * size + self.size].copy_from_slice(old);
        }
        self.products = products;
        self.targets.resize(size, 0.0);
        self.solution.resize(size, 0.0);
        self.size = size;
    }

    fn rescale(&mut self) {
        let all = self.products.iter_mut().chain(&mut self.targets);
        all.for_each(|value| *value /= self.weight_scale);
        self.weight_scale = 1.0;
    }
}
