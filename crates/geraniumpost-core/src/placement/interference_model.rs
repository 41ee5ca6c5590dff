use std::collections::BTreeMap;

use geraniumpost_schema::Name;

use super::interner::Interner;
use super::ridge::{Input, RidgeRegression};

/// Number of coefficients for a service without batch tasks: constant, load, load squared.
const BASELINE_COEFFICIENTS: usize = 3;
/// Processors, in thousandths, to which a slope refers.
const UNIT_MILLI_CPUS: f64 = 16_000.0;
/// Slope of a class without any measurement, in targets.
const DEFAULT_SLOPE: f64 = 0.15;
/// Evidence at which a pair's own measurements weigh as much as its class's mean.
const PAIR_PRIOR_STRENGTH: f64 = 4.0;
/// Evidence at which a class's own measurements weigh as much as the mean of all classes.
const CLASS_PRIOR_STRENGTH: f64 = 20.0;
/// Number of measurements between two solutions. A solution takes some microseconds; until it is
/// made, the newest measurements have no effect.
const SOLVE_EVERY: u32 = 4;
/// Number of classes with their own coefficients. Further classes share the last number, which
/// keeps the matrices small.
const MAX_CLASSES: u32 = 60;

/// Predicts how much batch classes slow services, from measurements that arrive late.
///
/// A service's p99, in units of its target, is modelled as a curve over its load plus a slope for
/// each batch class that runs beside it. The slope of a rarely measured pair of service and class
/// is regularized towards the mean of the class over all services, and a rarely measured class
/// towards the mean of all classes.
#[derive(Debug, Clone, Default)]
pub struct InterferenceModel {
    classes: Interner,
    services: BTreeMap<Name, ServiceModel>,
    class_means: Vec<f64>,
    mean: Option<f64>,
}

/// The regression of one service.
#[derive(Debug, Clone)]
struct ServiceModel {
    ridge: RidgeRegression,
    unsolved: u32,
}

/// Returns the factor by which load scales interference: tasks slow a busy service more.
///
/// It is linear in the load, as there is too little data to fit a more complex function.
pub fn load_factor(load: f64) -> f64 {
    0.3 + 0.7 * load
}

impl InterferenceModel {
    /// Returns the number of a class, assigning one if the class is new.
    pub fn intern_class(&mut self, class: &Name) -> usize {
        self.classes.intern(class).min(MAX_CLASSES) as usize
    }

    /// Returns the number of a class; unknown classes share the last number.
    pub fn class_number(&self, class: &Name) -> usize {
        self.classes.get(class).unwrap_or(MAX_CLASSES).min(MAX_CLASSES) as usize
    }

    /// Drops the models of all other services and returns whether any was dropped.
    pub fn retain_services(&mut self, mut is_retained: impl FnMut(&Name) -> bool) -> bool {
        let before = self.services.len();
        self.services.retain(|service, _| is_retained(service));
        self.services.len() < before
    }

    /// Learns from a p99 measured beside `tasks`, given by class number and thousandths of
    /// processors. Returns the excess of the measured over the predicted p99.
    pub fn observe(&mut self, service: &Name, load: f64, tasks: &[(usize, f64)], p99: f64) -> f64 {
        let predicted = self.predict(service, load, tasks);
        // The noise of a measurement grows with the latency, so high measurements weigh less.
        let weight = 1.0 / (p99 * p99).max(0.01);
        self.add_measurement(service, &inputs(load, tasks), p99, weight);
        p99 - predicted
    }

    fn add_measurement(&mut self, service: &Name, inputs: &[Input], value: f64, weight: f64) {
        let model = self.services.entry(service.clone()).or_insert_with(|| ServiceModel {
            ridge: RidgeRegression::new(),
            unsolved: SOLVE_EVERY,
        });
        model.ridge.observe(inputs, value, weight);
        model.unsolved += 1;
        if model.unsolved >= SOLVE_EVERY {
            self.solve(service);
        }
    }

    /// Returns the p99 of a service without batch tasks at a load, in targets.
    pub fn baseline(&self, service: &Name, load: f64) -> f64 {
        let Some(model) = self.services.get(service) else { return 0.0 };
        let coefficient = |index| model.ridge.coefficient(index).unwrap_or(0.0);
        coefficient(0) + coefficient(1) * load + coefficient(2) * load * load
    }

    /// Returns how much a class adds to a service's p99, in targets per processor unit.
    pub fn slope(&self, service: &Name, class: usize) -> f64 {
        let known = self
            .services
            .get(service)
            .and_then(|model| model.ridge.coefficient(BASELINE_COEFFICIENTS + class));
        known.unwrap_or_else(|| self.class_mean(class))
    }

    /// Returns the effective size of a task at a load, in processor units.
    pub fn intensity(milli_cpus: f64, load: f64) -> f64 {
        milli_cpus / UNIT_MILLI_CPUS * load_factor(load)
    }

    /// Returns the predicted p99 of a service beside tasks, in targets.
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

    fn solve(&mut self, service: &Name) {
        let means = self.class_means.clone();
        let mean = self.mean.unwrap_or(DEFAULT_SLOPE);
        if let Some(model) = self.services.get_mut(service) {
            model.unsolved = 0;
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

    /// Recomputes the means towards which rarely measured pairs and classes are regularized.
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

fn inputs(load: f64, tasks: &[(usize, f64)]) -> Vec<Input> {
    let mut inputs = vec![
        Input { index: 0, value: 1.0 },
        Input { index: 1, value: load },
        Input { index: 2, value: load * load },
    ];
    add_classes(&mut inputs, load, tasks);
    inputs
}

fn add_classes(inputs: &mut Vec<Input>, load: f64, tasks: &[(usize, f64)]) {
    for (class, cpus) in tasks {
        let value = InterferenceModel::intensity(*cpus, load);
        match inputs.iter_mut().find(|input| input.index == BASELINE_COEFFICIENTS + class) {
            Some(input) => input.value += value,
            None => inputs.push(Input { index: BASELINE_COEFFICIENTS + class, value }),
        }
    }
}
