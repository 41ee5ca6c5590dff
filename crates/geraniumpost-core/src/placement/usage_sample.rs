use std::collections::VecDeque;

use geraniumpost_schema::{Name, Resources};

/// Number of latest tasks from which usage is estimated; a new task replaces the oldest.
const MAX_SAMPLED_TASKS: usize = 32;
/// Minimum number of tasks for an estimate; with fewer tasks the declared need is used.
const MIN_SAMPLED_TASKS: usize = 3;
/// Share of the tasks for which the estimated processors suffice. A task with too few processors
/// only runs more slowly.
const PROCESSORS_QUANTILE: f64 = 0.5;
/// Share of the tasks for which the estimated memory suffices. A task with too little memory is
/// killed.
const MEMORY_QUANTILE: f64 = 0.85;

/// Peak usage, relative to the declared need, of the latest tasks of one customer and class.
#[derive(Debug, Clone, Default)]
pub struct UsageSample {
    peaks: VecDeque<Peak>,
    /// Estimated ratio of used to declared processors.
    processors_ratio: f64,
    /// Estimated ratio of used to declared memory.
    memory_ratio: f64,
}

/// Peak usage of one task, relative to its declared need.
#[derive(Debug, Clone)]
struct Peak {
    job: Name,
    processors_ratio: f64,
    memory_ratio: f64,
}

impl UsageSample {
    /// Adds a measurement of the usage of `job`, which declared `need`.
    pub fn observe(&mut self, job: &Name, need: &Resources, usage: &Resources) {
        let ratio = |used: u64, declared: u64| used as f64 / declared.max(1) as f64;
        let processors_ratio = ratio(usage.milli_cpus, need.milli_cpus);
        let memory_ratio = ratio(usage.memory_mb, need.memory_mb);
        if let Some(peak) = self.peaks.iter_mut().find(|peak| peak.job == *job) {
            if processors_ratio <= peak.processors_ratio && memory_ratio <= peak.memory_ratio {
                return;
            }
            peak.processors_ratio = peak.processors_ratio.max(processors_ratio);
            peak.memory_ratio = peak.memory_ratio.max(memory_ratio);
        } else {
            if self.peaks.len() == MAX_SAMPLED_TASKS {
                self.peaks.pop_front();
            }
            self.peaks.push_back(Peak { job: job.clone(), processors_ratio, memory_ratio });
        }
        self.processors_ratio = self.quantile(PROCESSORS_QUANTILE, |peak| peak.processors_ratio);
        self.memory_ratio = self.quantile(MEMORY_QUANTILE, |peak| peak.memory_ratio);
    }

    /// Returns `need` multiplied by the estimated ratios; accelerators stay as declared.
    pub fn scaled(&self, need: &Resources) -> Resources {
        let scale = |amount: u64, ratio: f64| (amount as f64 * ratio).ceil() as u64;
        Resources {
            milli_cpus: scale(need.milli_cpus, self.processors_ratio),
            memory_mb: scale(need.memory_mb, self.memory_ratio),
            accelerators: need.accelerators,
        }
    }

    /// Returns a quantile of a ratio over all tasks, or 0 if there are too few tasks.
    fn quantile(&self, quantile: f64, ratio: impl Fn(&Peak) -> f64) -> f64 {
        if self.peaks.len() < MIN_SAMPLED_TASKS {
            return 0.0;
        }
        let mut ratios: Vec<f64> = self.peaks.iter().map(ratio).collect();
        ratios.sort_by(f64::total_cmp);
        ratios[((ratios.len() - 1) as f64 * quantile).ceil() as usize]
    }
}
