use std::collections::BTreeMap;

use geraniumpost_schema::Name;

use super::interner::Interner;
use super::ridge::{Input, Ridge};

/// Coefficients of a service alone: constant, load, load squared.
const ALONE: usize = 3;
/// Processors that a slope is counted for, in thousandths.
const UNIT_MILLI_CPUS: f64 = 16_000.0;
/// Slope of a class that nothing is known of, in targets.
const UNKNOWN_SLOPE: f64 = 0.15;
/// Evidence at which a pair counts as much as its class's mean.
const PAIR_STRENGTH: f64 = 4.0;
/// Evidence at which a class counts as much as the mean of all classes.
const CLASS_STRENGTH: f64 = 20.0;
/// Measurements between two solutions. One takes some microseconds, and until it is made the newest
/// measurements do not count.
const SOLVE_EVERY: u32 = 4;
/// Classes told apart; further ones share the last number, so that matrices stay small.
const CLASSES: u32 = 60;

/// Predicts how much batch classes slow services, from late measurements.
///
/// A service's p99, in units of its target, is its own curve over load plus a slope for each class
/// that runs beside it. A pair rarely seen is drawn towards its class's mean over all services,
/// and a class rarely seen towards the mean of all classes.
#[derive(Debug, Clone, Default)]
pub struct InterferenceModel {
    classes: Interner,
    services: BTreeMap<Name, ServiceModel>,
    class_means: Vec<f64>,
    mean: Option<f64>,
}

/// What is known of one service.
#[derive(Debug, Clone)]
struct ServiceModel {
    ridge: Ridge,
    unsolved: u32,
}

/// How strongly tasks press on a service: more when it is busy.
///
/// It is linear in load on purpose: little data must decide, and a busy minion is slowed more.
pub fn pressing(load: f64) -> f64 {
    0.3 + 0.7 * load
}

impl InterferenceModel {
    /// Returns the number of a class.
    pub fn class(&mut self, class: &Name) -> usize {
        self.classes.intern(class).min(CLASSES) as usize
    }

    /// Returns the number of a class; one never seen shares the last number.
    pub fn known_class(&self, class: &Name) -> usize {
        self.classes.get(class).unwrap_or(CLASSES).min(CLASSES) as usize
    }

    /// Keeps what is known of some services and returns whether any was forgotten.
    pub fn keep(&mut self, mut is_kept: impl FnMut(&Name) -> bool) -> bool {
        let before = self.services.len();
        self.services.retain(|service, _| is_kept(service));
        self.services.len() < before
    }

    /// Learns from a measurement beside the tasks that ran then, given by class number and
    /// processors; returns how far it lay over the prediction.
    pub fn observe(&mut self, service: &Name, load: f64, ran: &[(usize, f64)], p99: f64) -> f64 {
        let predicted = self.predict(service, load, ran);
        // Noise grows with latency, so what is measured high counts less.
        let weight = 1.0 / (p99 * p99).max(0.01);
        self.take_in(service, &inputs(load, ran), p99, weight);
        p99 - predicted
    }

    fn take_in(&mut self, service: &Name, inputs: &[Input], value: f64, weight: f64) {
        let model = self
            .services
            .entry(service.clone())
            .or_insert_with(|| ServiceModel { ridge: Ridge::new(), unsolved: SOLVE_EVERY });
        model.ridge.observe(inputs, value, weight);
        model.unsolved += 1;
        if model.unsolved >= SOLVE_EVERY {
            self.solve(service);
        }
    }

    /// Returns the p99 of a service alone at a load, in targets.
    pub fn alone(&self, service: &Name, load: f64) -> f64 {
        let Some(model) = self.services.get(service) else { return 0.0 };
        let at = |i| model.ridge.coefficient(i).unwrap_or(0.0);
        at(0) + at(1) * load + at(2) * load * load
    }

    /// Returns how much a class adds to a service's p99 in targets, for each processor unit.
    pub fn slope(&self, service: &Name, class: usize) -> f64 {
        let known = self.services.get(service).and_then(|m| m.ridge.coefficient(ALONE + class));
        known.unwrap_or_else(|| self.class_mean(class))
    }

    /// Returns the strength of a task in processor units at a load.
    pub fn strength(milli_cpus: f64, load: f64) -> f64 {
        milli_cpus / UNIT_MILLI_CPUS * pressing(load)
    }

    /// Returns the predicted p99 of a service beside tasks, in targets.
    pub fn predict(&self, service: &Name, load: f64, ran: &[(usize, f64)]) -> f64 {
        let beside: f64 = ran
            .iter()
            .map(|(class, cpus)| self.slope(service, *class) * Self::strength(*cpus, load))
            .sum();
        self.alone(service, load) + beside
    }

    fn class_mean(&self, class: usize) -> f64 {
        let mean = self.mean.unwrap_or(UNKNOWN_SLOPE);
        self.class_means.get(class).copied().unwrap_or(mean)
    }

    fn solve(&mut self, service: &Name) {
        let means = self.class_means.clone();
        let mean = self.mean.unwrap_or(UNKNOWN_SLOPE);
        if let Some(model) = self.services.get_mut(service) {
            model.unsolved = 0;
            let least = |at: usize| if at < ALONE { f64::MIN } else { 0.0 };
            model.ridge.solve(least, |at| match at.checked_sub(ALONE) {
                None => (0.0, 0.02),
                Some(class) => (means.get(class).copied().unwrap_or(mean), PAIR_STRENGTH),
            });
        }
        self.average();
    }

    /// Takes the means anew that rarely seen pairs and classes are drawn towards.
    fn average(&mut self) {
        let classes = self.classes.names().len().min(CLASSES as usize + 1);
        let mean = self.mean.unwrap_or(UNKNOWN_SLOPE);
        let mut means = vec![mean; classes];
        let (mut sum, mut weights) = (UNKNOWN_SLOPE, 1.0);
        for (class, of_class) in means.iter_mut().enumerate() {
            let (mut of, mut evidence) = (mean * CLASS_STRENGTH, CLASS_STRENGTH);
            for model in self.services.values() {
                let weight = model.ridge.evidence(ALONE + class).min(CLASS_STRENGTH * 10.0);
                of += weight * model.ridge.coefficient(ALONE + class).unwrap_or(0.0);
                evidence += weight;
            }
            *of_class = of / evidence;
            let weight = (evidence - CLASS_STRENGTH) / evidence;
            sum += weight * *of_class;
            weights += weight;
        }
        self.class_means = means;
        self.mean = Some(sum / weights);
    }
}

fn inputs(load: f64, ran: &[(usize, f64)]) -> Vec<Input> {
    let mut inputs = vec![
        Input { at: 0, value: 1.0 },
        Input { at: 1, value: load },
        Input { at: 2, value: load * load },
    ];
    add_classes(&mut inputs, load, ran);
    inputs
}

fn add_classes(inputs: &mut Vec<Input>, load: f64, ran: &[(usize, f64)]) {
    for (class, cpus) in ran {
        let value = InterferenceModel::strength(*cpus, load);
        match inputs.iter_mut().find(|input| input.at == ALONE + class) {
            Some(input) => input.value += value,
            None => inputs.push(Input { at: ALONE + class, value }),
        }
    }
}
