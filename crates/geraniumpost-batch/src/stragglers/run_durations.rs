use std::collections::{HashMap, VecDeque};

use geraniumpost_schema::Name;

use super::ExpectedDuration;

/// Number of ended runs of a class that are remembered. The slowest tenth of them is then six runs,
/// so that a few stragglers do not shift it.
const MAX_SAMPLES: usize = 64;
/// Number of ended runs from which a class's durations are relied on.
const MIN_SAMPLES: usize = 10;
/// Number of classes at which all are forgotten, so that jobs with ever new images take no memory.
const MAX_CLASSES: usize = 1_024;

/// Durations of the latest ended runs, by class of work.
///
/// They are kept as multiples of the estimates that submitters declare, because the tasks of one
/// class differ in size and the errors of their estimates do not.
#[derive(Debug, Default)]
pub struct RunDurations {
    classes: HashMap<Name, VecDeque<f64>>,
}

impl RunDurations {
    /// Adds a run that ended as done.
    pub fn record(&mut self, class: &Name, duration_ms: u64, estimate_ms: u32) {
        if self.classes.len() >= MAX_CLASSES && !self.classes.contains_key(class) {
            self.classes.clear();
        }
        let ratios = self.classes.entry(class.clone()).or_default();
        if ratios.len() >= MAX_SAMPLES {
            ratios.pop_front();
        }
        ratios.push_back(duration_ms as f64 / f64::from(estimate_ms.max(1)));
    }

    /// Returns how long a run of a class takes whose submitter declared `estimate_ms`, or `None` if
    /// too few runs of the class have ended.
    pub fn expected(&self, class: &Name, estimate_ms: u32) -> Option<ExpectedDuration> {
        let ratios = self.classes.get(class).filter(|ratios| ratios.len() >= MIN_SAMPLES)?;
        let mut sorted: Vec<f64> = ratios.iter().copied().collect();
        sorted.sort_unstable_by(f64::total_cmp);
        let duration_ms = |ratio: f64| (ratio * f64::from(estimate_ms.max(1))) as u64;
        Some(ExpectedDuration {
            median_ms: duration_ms(sorted[sorted.len() / 2]),
            slow_ms: duration_ms(sorted[sorted.len() * 9 / 10]),
        })
    }
}
