use std::collections::VecDeque;

use geraniumpost_schema::{Name, Resources};

/// Tasks that a sample remembers.
const REMEMBERED: usize = 32;
/// Tasks without which a sample says nothing.
const ENOUGH: usize = 3;
/// Share of the tasks that the learned processors suffice for; a task short of them only slows.
const PROCESSORS_QUANTILE: f64 = 0.5;
/// Share of the tasks that the learned memory suffices for; a task short of it is killed.
const MEMORY_QUANTILE: f64 = 0.85;

/// Peak usage over declared need of the latest tasks of one customer and class.
#[derive(Debug, Clone, Default)]
pub struct SizeSample {
    peaks: VecDeque<Peak>,
    processors: f64,
    memory: f64,
}

/// One task's peak usage over its declared need.
#[derive(Debug, Clone)]
struct Peak {
    job: Name,
    processors: f64,
    memory: f64,
}

impl SizeSample {
    /// Takes one measurement in.
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
            if self.peaks.len() == REMEMBERED {
                self.peaks.pop_front();
            }
            self.peaks.push_back(Peak { job: job.clone(), processors, memory });
        }
        self.processors = self.quantile(PROCESSORS_QUANTILE, |peak| peak.processors);
        self.memory = self.quantile(MEMORY_QUANTILE, |peak| peak.memory);
    }

    /// Returns a declared need scaled by what was seen.
    pub fn grown(&self, need: &Resources) -> Resources {
        let scale = |amount: u64, ratio: f64| (amount as f64 * ratio).ceil() as u64;
        Resources {
            milli_cpus: scale(need.milli_cpus, self.processors),
            memory_mb: scale(need.memory_mb, self.memory),
            accelerators: need.accelerators,
        }
    }

    fn quantile(&self, quantile: f64, of: impl Fn(&Peak) -> f64) -> f64 {
        if self.peaks.len() < ENOUGH {
            return 0.0;
        }
        let mut ratios: Vec<f64> = self.peaks.iter().map(of).collect();
        ratios.sort_by(f64::total_cmp);
        ratios[((ratios.len() - 1) as f64 * quantile).ceil() as usize]
    }
}
