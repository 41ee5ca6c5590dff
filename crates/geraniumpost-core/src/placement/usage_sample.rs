use std::collections::VecDeque;

use geraniumpost_schema::{Name, Resources};

/// Number of tasks in a sample.
const MAX_TASKS: usize = 32;
/// Minimum number of tasks for an estimate.
const MIN_TASKS: usize = 3;
/// Share of the tasks for which the estimated processors suffice. A task with too few only slows.
const PROCESSORS_QUANTILE: f64 = 0.5;
/// Share of the tasks for which the estimated memory suffices. A task with too little is killed.
const MEMORY_QUANTILE: f64 = 0.85;

/// Peak usage, relative to the declared need, of the latest tasks of one customer and class.
#[derive(Debug, Clone, Default)]
pub struct UsageSample {
    peaks: VecDeque<Peak>,
    processors: f64,
    memory: f64,
}

/// Peak usage of one task, relative to its declared need.
#[derive(Debug, Clone)]
struct Peak {
    job: Name,
    processors: f64,
    memory: f64,
}

impl UsageSample {
    /// Adds a measurement of a task's usage.
    pub fn observe(&mut self, job: &Name, need: &Resources, usage: &Resources) {
        let ratio = |used: u64, declared: u64| used as f64 / declared.max(1) as f64;
        let processors = ratio(usage.milli_cpus, need.milli_cpus);
        let memory = ratio(usage.memory_mb, need.memory_mb);
        if let Some(peak) = self.peaks.iter_mut().find(|peak| peak.job == *job) {
            if processors <= peak.processors && memory <= peak.memory {
                return;
            }
            peak.processors = peak.processors.max(processors);
            peak.memory = peak.memory.max(memory);
        } else {
            if self.peaks.len() == MAX_TASKS {
                self.peaks.pop_front();
            }
            self.peaks.push_back(Peak { job: job.clone(), processors, memory });
        }
        self.processors = self.quantile(PROCESSORS_QUANTILE, |peak| peak.processors);
        self.memory = self.quantile(MEMORY_QUANTILE, |peak| peak.memory);
    }

    /// Returns a declared need scaled by the estimated ratios.
    pub fn scaled(&self, need: &Resources) -> Resources {
        let scale = |amount: u64, ratio: f64| (amount as f64 * ratio).ceil() as u64;
        Resources {
            milli_cpus: scale(need.milli_cpus, self.processors),
            memory_mb: scale(need.memory_mb, self.memory),
            accelerators: need.accelerators,
        }
    }

    fn quantile(&self, quantile: f64, ratio: impl Fn(&Peak) -> f64) -> f64 {
        if self.peaks.len() < MIN_TASKS {
            return 0.0;
        }
        let mut ratios: Vec<f64> = self.peaks.iter().map(ratio).collect();
        ratios.sort_by(f64::total_cmp);
        ratios[((ratios.len() - 1) as f64 * quantile).ceil() as usize]
    }
}
