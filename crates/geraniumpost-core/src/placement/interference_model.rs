use std::collections::BTreeMap;

use geraniumpost_schema::Name;

use super::interner::Interner;
use super::ridge::{Input, RidgeRegression};

/// Number of coefficients of the curve that gives the p99 without batch tasks: constant, load and
/// load squared.
const BASELINE_COEFFICIENTS: usize = 3;
/// Processors, in thousandths, of the reference task to which a slope refers.
pub(super) const REFERENCE_TASK_MILLI_CPUS: f64 = 16_000.0;
/// Slope that is assumed before there are measurements, as a multiple of the target.
const DEFAULT_SLOPE: f64 = 0.15;
/// [Evidence](RidgeRegression::evidence) on a pair of service and class at which measurements of
/// the pair weigh as much as the mean of the class.
const PAIR_PRIOR_STRENGTH: f64 = 4.0;
/// [Evidence](RidgeRegression::evidence) on a class at which measurements of the class weigh as
/// much as the mean of all classes.
const CLASS_PRIOR_STRENGTH: f64 = 20.0;
/// Number of measurements of a service after which its regression is solved. Solving takes some
/// microseconds; a measurement has no effect until the next solution.
const MEASUREMENTS_PER_SOLUTION: u32 = 4;
/// Number of classes with their own coefficients. All further classes share one coefficient, to
/// keep the matrices small.
const MAX_CLASSES: u32 = 60;

/// Predicts how much tasks of each batch class raise the latency of each service, from measurements
/// that arrive late.
///
/// A service's p99, as a multiple of its target, is modelled as a quadratic function of its load
/// plus a slope for each batch class that runs on the same VM. The slope of a rarely measured pair
/// of service and class is regularized towards the mean of the class over all services, and the
/// mean of a rarely measured class towards the mean of all classes.
#[derive(Debug, Clone, Default)]
pub struct InterferenceModel {
    classes: Interner,
    services: BTreeMap<Name, ServiceModel>,
    /// Mean slope by class index.
    class_means: Vec<f64>,
    /// Mean slope of all classes; `None` before the first solution.
    mean: Option<f64>,
}

/// The regression of one service, with the number of measurements that it does not reflect yet.
#[derive(Debug, Clone)]
struct ServiceModel {
    ridge: RidgeRegression,
    /// Number of measurements since the last solution. A new model starts at
    /// [`MEASUREMENTS_PER_SOLUTION`], so the regression is solved right after the first measurement.
    unsolved_measurements: u32,
}

/// Returns the factor by which interference grows with the load of the service, from 0.3 for an
/// idle service to 1 for a fully loaded service.
///
/// The function is linear because there is too little data to fit a more complex function.
pub fn load_factor(load: f64) -> f64 {
    0.3 + 0.7 * load
}

impl InterferenceModel {
    /// Returns the index of `class`, and assigns the next index to a new class. Classes after the
    /// first `MAX_CLASSES` share the last index.
    pub fn intern_class(&mut self, class: &Name) -> usize {
        self.classes.intern(class).min(MAX_CLASSES) as usize
    }

    /// Returns the index of `class`. Unknown classes get the last index, which classes after the
    /// first `MAX_CLASSES` share.
    pub fn class_index(&self, class: &Name) -> usize {
        self.classes.get(class).unwrap_or(MAX_CLASSES).min(MAX_CLASSES) as usize
    }

    /// Drops the models of services for which `is_retained` returns false, and returns whether any
    /// model was dropped.
    pub fn retain_services(&mut self, mut is_retained: impl FnMut(&Name) -> bool) -> bool {
        let before = self.services.len();
        self.services.retain(|service, _| is_retained(service));
        self.services.len() < before
    }

    /// Learns from `p99`, a multiple of the target, that was measured while `tasks` ran on the same
    /// VM. Each task is given by its class index and its processors in thousandths. Returns the
    /// measured minus the predicted p99.
    pub fn observe(&mut self, service: &Name, load: f64, tasks: &[(usize, f64)], p99: f64) -> f64 {
        let predicted = self.predict(service, load, tasks);
        // The noise of a measurement grows with the latency, so high measurements weigh less.
        let weight = 1.0 / (p99 * p99).max(0.01);
        self.add_measurement(service, &regression_inputs(load, tasks), p99, weight);
        p99 - predicted
    }

    fn add_measurement(&mut self, service: &Name, inputs: &[Input], value: f64, weight: f64) {
        let model = self.services.entry(service.clone()).or_insert_with(|| ServiceModel {
            ridge: RidgeRegression::new(),
            unsolved_measurements: MEASUREMENTS_PER_SOLUTION,
        });
        model.ridge.observe(inputs, value, weight);
        model.unsolved_measurements += 1;
        if model.unsolved_measurements >= MEASUREMENTS_PER_SOLUTION {
            self.solve(service);
        }
    }

    /// Returns the predicted p99 of a service without batch tasks at `load` (0 to 1), as a multiple
    /// of the service's target.
    pub fn baseline(&self, service: &Name, load: f64) -> f64 {
        let Some(model) = self.services.get(service) else { return 0.0 };
        let coefficient = |index| model.ridge.coefficient(index).unwrap_or(0.0);
        coefficient(0) + coefficient(1) * load + coefficient(2) * load * load
    }

    /// Returns the predicted increase of a service's p99, as a multiple of its target, by a task of
    /// class index `class` with 16 processors at full load of the service.
    pub fn slope(&self, service: &Name, class: usize) -> f64 {
        let known = self
            .services
            .get(service)
            .and_then(|model| model.ridge.coefficient(BASELINE_COEFFICIENTS + class));
        known.unwrap_or_else(|| self.class_mean(class))
    }

    /// Returns the factor for a slope, given a task's processors in thousandths and the service's
    /// load.
    pub fn intensity(milli_cpus: f64, load: f64) -> f64 {
        milli_cpus / REFERENCE_TASK_MILLI_CPUS * load_factor(load)
    }

    /// Returns the predicted p99 of a service that shares its VM with `tasks`, as a multiple of the
    /// service's target. Each task is given by its class index and its processors in thousandths.
    pub fn predict(&self, service: &Name, load: f64, tasks: &[(usize, f64)]) -> f64 {
        let interference: f64 = tasks
            .iter()
            .map(|(class, cpus)| self.slope(service, *class) * Self::intensity(*cpus, load))
            .sum();
        self.baseline(service, load) + interference
    }

    fn class_mean(&self, class: usize) -> f64 {
        let mean = self.mean.unwrap_or(DEFAULT_SLOPE);
        self.class_means.get(class).copied().unwrap_or(mean)
    }

    /// Solves the regression of a service and updates the class means.
    fn solve(&mut self, service: &Name) {
        let means = self.class_means.clone();
        let mean = self.mean.unwrap_or(DEFAULT_SLOPE);
        if let Some(model) = self.services.get_mut(service) {
            model.unsolved_measurements = 0;
            let lower_bound =
                |index: usize| if index < BASELINE_COEFFICIENTS { f64::MIN } else { 0.0 };
            model.ridge.solve(lower_bound, |index| {
                match index.checked_sub(BASELINE_COEFFICIENTS) {
                    None => (0.0, 0.02),
                    Some(class) => (means.get(class).copied().unwrap_or(mean), PAIR_PRIOR_STRENGTH),
                }
            });
        }
        self.update_means();
    }

    /// Recomputes `class_means` and `mean`, weighted by evidence.
    fn update_means(&mut self) {
        let classes = self.classes.names().len().min(MAX_CLASSES as usize + 1);
        let mean = self.mean.unwrap_or(DEFAULT_SLOPE);
        let mut means = vec![mean; classes];
        let (mut sum, mut weights) = (DEFAULT_SLOPE, 1.0);
        for (class, class_mean) in means.iter_mut().enumerate() {
            let (mut weighted_sum, mut evidence) =
                (mean * CLASS_PRIOR_STRENGTH, CLASS_PRIOR_STRENGTH);
            for model in self.services.values() {
                let weight = model
                    .ridge
                    .evidence(BASELINE_COEFFICIENTS + class)
                    .min(CLASS_PRIOR_STRENGTH * 10.0);
                weighted_sum +=
                    weight * model.ridge.coefficient(BASELINE_COEFFICIENTS + class).unwrap_or(0.0);
                evidence += weight;
            }
            *class_mean = weighted_sum / evidence;
            let weight = (evidence - CLASS_PRIOR_STRENGTH) / evidence;
            sum += weight * *class_mean;
            weights += weight;
        }
        self.class_means = means;
        self.mean = Some(sum / weights);
    }
}

fn regression_inputs(load: f64, tasks: &[(usize, f64)]) -> Vec<Input> {
    let mut inputs = vec![
        Input { index: 0, value: 1.0 },
        Input { index: 1, value: load },
        Input { index: 2, value: load * load },
    ];
    add_class_inputs(&mut inputs, load, tasks);
    inputs
}

fn add_class_inputs(inputs: &mut Vec<Input>, load: f64, tasks: &[(usize, f64)]) {
    for (class, cpus) in tasks {
        let value = InterferenceModel::intensity(*cpus, load);
        match inputs.iter_mut().find(|input| input.index == BASELINE_COEFFICIENTS + class) {
            Some(input) => input.value += value,
            None => inputs.push(Input { index: BASELINE_COEFFICIENTS + class, value }),
        }
    }
}
