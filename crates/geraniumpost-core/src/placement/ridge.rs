/// Factor between the weights of two successive measurements, so that old measurements count less:
/// a measurement has half the weight of a measurement made about 1,400 measurements later.
const WEIGHT_GROWTH: f64 = 1.0005;
/// Value of [`RidgeRegression::weight_scale`] above which all sums are divided by that value, so
/// that the sums stay small.
const RESCALE_THRESHOLD: f64 = 1e6;
/// Number of Gauss-Seidel sweeps per solution. Few sweeps are enough because each solution starts
/// from the previous solution.
const SWEEPS_PER_SOLUTION: usize = 4;

/// Weighted linear regression whose coefficients are regularized towards given prior values.
#[derive(Debug, Clone, Default)]
pub struct RidgeRegression {
    /// Number of coefficients.
    size: usize,
    /// Matrix of the weighted sums of the products of each pair of inputs, in row-major order.
    product_sums: Vec<f64>,
    /// Weighted sums of input times measured value, by coefficient.
    value_sums: Vec<f64>,
    /// The coefficients as of the last call of [`solve`](Self::solve).
    solution: Vec<f64>,
    /// Factor for the weight of the next measurement.
    weight_scale: f64,
}

/// One input of a measurement; inputs that are not listed are 0.
#[derive(Debug, Clone, Copy)]
pub struct Input {
    /// Index of the coefficient.
    pub index: usize,
    /// Value by which the coefficient is multiplied.
    pub value: f64,
}

impl RidgeRegression {
    /// Creates a regression without measurements.
    pub fn new() -> Self {
        Self { weight_scale: 1.0, ..Self::default() }
    }

    /// Adds a measurement of the value `measured`. Coefficients are updated by
    /// [`solve`](Self::solve).
    pub fn observe(&mut self, inputs: &[Input], measured: f64, weight: f64) {
        let size = inputs.iter().map(|input| input.index + 1).max().unwrap_or(0);
        self.resize(size);
        let weight = weight * self.weight_scale;
        for row in inputs {
            self.value_sums[row.index] += weight * row.value * measured;
            for column in inputs {
                self.product_sums[row.index * self.size + column.index] +=
                    weight * row.value * column.value;
            }
        }
        self.weight_scale *= WEIGHT_GROWTH;
        if self.weight_scale > RESCALE_THRESHOLD {
            self.rescale();
        }
    }

    /// Updates all coefficients. `prior` returns the value towards which a coefficient is
    /// regularized and the evidence at which that value and the measurements have equal weight.
    pub fn solve(
        &mut self,
        lower_bound: impl Fn(usize) -> f64,
        prior: impl Fn(usize) -> (f64, f64),
    ) {
        for _ in 0..SWEEPS_PER_SOLUTION {
            for index in 0..self.size {
                let row = &self.product_sums[index * self.size..(index + 1) * self.size];
                let others: f64 = row.iter().zip(&self.solution).map(|(a, b)| a * b).sum::<f64>()
                    - row[index] * self.solution[index];
                let (prior_value, strength) = prior(index);
                let strength = strength * self.weight_scale;
                let value = (self.value_sums[index] - others + strength * prior_value)
                    / (row[index] + strength).max(1e-9);
                self.solution[index] = value.max(lower_bound(index));
            }
        }
    }

    /// Returns the coefficient at `index`, or `None` if no measurement had this input.
    pub fn coefficient(&self, index: usize) -> Option<f64> {
        (self.evidence(index) > 0.0).then(|| self.solution[index])
    }

    /// Returns the evidence on the coefficient at `index`, which is the weighted sum of its squared
    /// inputs.
    pub fn evidence(&self, index: usize) -> f64 {
        if index >= self.size {
            0.0
        } else {
            self.product_sums[index * self.size + index] / self.weight_scale
        }
    }

    fn resize(&mut self, size: usize) {
        if size <= self.size {
            return;
        }
        let mut product_sums = vec![0.0; size * size];
        for row in 0..self.size {
            let old = &self.product_sums[row * self.size..(row + 1) * self.size];
            product_sums[row * size..row * size + self.size].copy_from_slice(old);
        }
        self.product_sums = product_sums;
        self.value_sums.resize(size, 0.0);
        self.solution.resize(size, 0.0);
        self.size = size;
    }

    /// Divides all sums by the weight scale, and resets the scale to 1.
    fn rescale(&mut self) {
        let all = self.product_sums.iter_mut().chain(&mut self.value_sums);
        all.for_each(|value| *value /= self.weight_scale);
        self.weight_scale = 1.0;
    }
}
