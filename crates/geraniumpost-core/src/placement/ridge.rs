/// Growth of the weight of measurements, so that old ones fade: half their weight after some 1,400.
const GROWTH: f64 = 1.0005;
/// Growth at which all weights are scaled back.
const SCALE_BACK: f64 = 1e6;
/// Sweeps of a solution; it starts from the last one, so few are enough.
const SWEEPS: usize = 4;

/// Linear regression that is drawn towards given values where there is little evidence.
#[derive(Debug, Clone, Default)]
pub struct Ridge {
    size: usize,
    products: Vec<f64>,
    targets: Vec<f64>,
    solution: Vec<f64>,
    growth: f64,
}

/// One input of a regression: which coefficient, and how strongly.
#[derive(Debug, Clone, Copy)]
pub struct Input {
    /// Number of the coefficient.
    pub at: usize,
    /// Strength.
    pub value: f64,
}

impl Ridge {
    /// Creates a regression without evidence.
    pub fn new() -> Self {
        Self { growth: 1.0, ..Self::default() }
    }

    /// Takes a measurement in.
    pub fn observe(&mut self, inputs: &[Input], target: f64, weight: f64) {
        let needed = inputs.iter().map(|input| input.at + 1).max().unwrap_or(0);
        self.grow(needed);
        let weight = weight * self.growth;
        for row in inputs {
            self.targets[row.at] += weight * row.value * target;
            for column in inputs {
                self.products[row.at * self.size + column.at] += weight * row.value * column.value;
            }
        }
        self.growth *= GROWTH;
        if self.growth > SCALE_BACK {
            self.scale_back();
        }
    }

    /// Solves anew; `prior` gives the value and strength that each coefficient is drawn with.
    pub fn solve(&mut self, least: impl Fn(usize) -> f64, prior: impl Fn(usize) -> (f64, f64)) {
        for _ in 0..SWEEPS {
            for at in 0..self.size {
                let row = &self.products[at * self.size..(at + 1) * self.size];
                let others: f64 = row.iter().zip(&self.solution).map(|(a, b)| a * b).sum::<f64>()
                    - row[at] * self.solution[at];
                let (drawn, strength) = prior(at);
                let strength = strength * self.growth;
                let value =
                    (self.targets[at] - others + strength * drawn) / (row[at] + strength).max(1e-9);
                self.solution[at] = value.max(least(at));
            }
        }
    }

    /// Returns a coefficient, if there is evidence on it.
    pub fn coefficient(&self, at: usize) -> Option<f64> {
        (self.evidence(at) > 0.0).then(|| self.solution[at])
    }

    /// Returns how much evidence there is on a coefficient.
    pub fn evidence(&self, at: usize) -> f64 {
        if at >= self.size { 0.0 } else { self.products[at * self.size + at] / self.growth }
    }

    fn grow(&mut self, size: usize) {
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

    fn scale_back(&mut self) {
        let all = self.products.iter_mut().chain(&mut self.targets);
        all.for_each(|value| *value /= self.growth);
        self.growth = 1.0;
    }
}
