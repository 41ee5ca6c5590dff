use geraniumpost_schema::{Name, Resources};

use super::smoothed_latency::SmoothedLatency;
use super::task_view::FULL_SPEED;
use super::{Observation, Placer, amounts};
use crate::Millis;

impl Placer {
    /// Learns from a report. Latency is attributed to the tasks that ran at the time of the
    /// measurement, even if the report arrives late.
    pub fn observe(&mut self, _now: Millis, observation: &Observation) {
        match observation {
            Observation::Started { job, class, worker, need, at, .. } => {
                self.history.record_start(worker, job, class, need.milli_cpus, *at);
                self.failures.record_start(job, worker, *at);
            }
            Observation::Ended { job, worker, outcome, at } => {
                self.history.record_end(worker, job, *at);
                self.failures.record_end(job, worker, *outcome, *at);
                self.speeds.remove(job);
                self.evicting.remove(job);
                self.over_need.remove(job);
                self.explanations.forget(job);
            }
            Observation::Throttled { job, worker, permille, at } => {
                let before = self.speeds.insert(job.clone(), *permille).unwrap_or(FULL_SPEED);
                self.history.record_speed_change(worker, job, before, *permille, *at);
            }
            Observation::Latency { worker, service, load_permille, p99_us, at } => {
                self.observe_latency(worker, service, *load_permille, *p99_us, *at);
            }
            Observation::Usage { job, customer, class, need, usage, .. } => {
                self.observe_usage(job, customer, class, need, usage);
            }
        }
    }

    fn observe_latency(
        &mut self,
        worker: &Name,
        service: &Name,
        load_permille: u32,
        p99_us: u64,
        at: Millis,
    ) {
        let target = self.policy.target_us(service).max(1) as f64;
        let (p99, load) = (p99_us as f64 / target, f64::from(load_permille) / 1000.0);
        let mut tasks = Vec::new();
        for segment in self.history.segments_at(worker, at) {
            tasks.push((self.model.intern_class(&segment.class), segment.milli_cpus));
        }
        let excess = self.model.observe(service, load, &tasks, p99);
        self.measured.insert(worker.clone());
        self.latencies
            .entry(worker.clone())
            .and_modify(|latency| latency.observe(p99, excess, at))
            .or_insert_with(|| SmoothedLatency::new(p99, excess, at));
    }

    fn observe_usage(
        &mut self,
        job: &Name,
        customer: &Name,
        class: &Name,
        need: &Resources,
        usage: &Resources,
    ) {
        self.usage_estimates.observe(customer, class, job, need, usage);
        if !amounts::fits(usage, need) {
            self.over_need.insert(job.clone());
        }
    }
}
