use std::collections::BTreeMap;

use geraniumpost_schema::Name;

use super::LearntPair;
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
/// Weight of a change: the inverse of the variance of changes beside which nothing changed, seen at
/// 0.05 squared, and a fifth of that, as [`PAIR_STRENGTH`] is a fifth of what slopes scatter by.
const CHANGE_WEIGHT: f64 = 80.0;
/// Most evidence that is taken over from another process: some fifty changes of a task.
const MOST_RECALLED: f64 = 100.0;
/// Variance of a change beside which nothing changed.
const NOISE: f64 = 0.0025;
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
#[derive(Debug, Clone)]
pub struct HarmModel {
    /// Slope of a class that nothing is known of, in targets.
    unknown: f64,
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

impl Default for HarmModel {
    fn default() -> Self {
        Self {
            unknown: UNKNOWN_SLOPE,
            classes: Interner::default(),
            services: BTreeMap::new(),
            class_means: Vec::new(),
            mean: None,
        }
    }
}

impl HarmModel {
    /// Sets the slope of classes that nothing is known of.
    #[must_use]
    pub const fn unknown_slope(mut self, slope: f64) -> Self {
        self.unknown = slope;
        self
    }

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

    /// Learns from by how much a measurement changed beside changes of what ran, in which the
    /// service's own part cancels.
    ///
    /// All changes count alike: the large ones tell most, and their noise is no larger. The service's
    /// own curve is no input: it would take the blame for tails that mostly fall, or mostly rise, while
    /// a class goes or comes.
    pub fn observe_change(&mut self, service: &Name, load: f64, ran: &[(usize, f64)], change: f64) {
        let mut inputs = Vec::with_capacity(ran.len());
        add_classes(&mut inputs, load, ran);
        self.take_in(service, &inputs, change, CHANGE_WEIGHT);
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

    /// Returns how far a slope may still be off (one standard deviation), by the evidence from
    /// [`Self::observe_change`]; 0 for a pair that nothing is known of, whose slope is cautious.
    pub fn doubt(&self, service: &Name, class: usize) -> f64 {
        let evidence = self.services.get(service).map_or(0.0, |m| m.ridge.evidence(ALONE + class));
        if evidence > 0.0 { (NOISE * CHANGE_WEIGHT / evidence).sqrt() } else { 0.0 }
    }

    /// Returns what is known of pairs, so that another process can [`recall`](Self::recall) it.
    pub fn pairs(&self) -> Vec<LearntPair> {
        let mut pairs = Vec::new();
        for (service, model) in &self.services {
            for (number, class) in self.classes.names().iter().enumerate().take(CLASSES as usize) {
                let evidence = model.ridge.evidence(ALONE + number);
                if let Some(slope) = model.ridge.coefficient(ALONE + number) {
                    let (service, class) = (service.clone(), class.clone());
                    pairs.push(LearntPair { service, class, slope, evidence });
                }
            }
        }
        pairs
    }

    /// Takes in what another process knew of a pair.
    ///
    /// The evidence counts as if it had been measured here, up to a bound, so that what is measured
    /// from now on soon outweighs a pair that has changed.
    pub fn recall(&mut self, pair: &LearntPair) {
        if !(pair.slope.is_finite() && pair.evidence.is_finite() && pair.evidence > 0.0) {
            return;
        }
        let input = Input { at: ALONE + self.class(&pair.class), value: 1.0 };
        self.take_in(&pair.service, &[input], pair.slope, pair.evidence.min(MOST_RECALLED));
        self.solve(&pair.service);
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
        let mean = self.mean.unwrap_or(self.unknown);
        self.class_means.get(class).copied().unwrap_or(mean)
    }

    fn solve(&mut self, service: &Name) {
        let means = self.class_means.clone();
        let mean = self.mean.unwrap_or(self.unknown);
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
        let mean = self.mean.unwrap_or(self.unknown);
        let mut means = vec![mean; classes];
        let (mut sum, mut weights) = (self.unknown, 1.0);
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
        let value = HarmModel::strength(*cpus, load);
        match inputs.iter_mut().find(|input| input.at == ALONE + class) {
            Some(input) => input.value += value,
            None => inputs.push(Input { at: ALONE + class, value }),
        }
    }
}
