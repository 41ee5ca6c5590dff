use geraniumpost_schema::Resources;

use super::scenario::CAPACITY;

/// One task as it weighs on its neighbours.
#[derive(Debug, Clone, Copy)]
pub struct Pressing {
    /// What it really takes, after throttling.
    pub milli_cpus: f64,
    /// Its present noise towards the worker's service.
    pub noise: f64,
}

/// The effect of tasks on one VM, in place of a cluster simulator.
///
/// Its form is on purpose not that of the placer's model: it is quadratic in the load, convex in
/// the noise and breaks when processors run out.
#[derive(Debug, Clone, Copy)]
pub struct Effect {
    /// Service's p99 over its p99 alone at the same load.
    pub slowdown: f64,
    /// Speed of batch tasks, 1 if nothing is short.
    pub speed: f64,
    /// Whether more processors are wanted than there are.
    pub overfull: bool,
    /// What the service itself takes.
    pub service: Resources,
}

/// Processors a service takes at full load.
const SERVICE_MILLI_CPUS: f64 = 22_000.0;
/// Memory a service takes.
const SERVICE_MEMORY_MB: u64 = 36_000;

/// Returns the p99 of a service alone, over its p99 when idle.
pub fn queueing(load: f64) -> f64 {
    1.0 + 0.5 * load * load
}

/// Returns how the tasks slow the service and each other.
pub fn effect(load: f64, tasks: &[Pressing]) -> Effect {
    let service_cpus = SERVICE_MILLI_CPUS * load;
    let batch_cpus: f64 = tasks.iter().map(|task| task.milli_cpus).sum();
    let noise: f64 = tasks.iter().map(|task| task.noise * task.milli_cpus / 16_000.0).sum();
    let total = (service_cpus + batch_cpus) / CAPACITY.milli_cpus as f64;
    let short = (total - 0.92).max(0.0);
    let pressing = noise * (0.25 + 0.75 * load * load);
    let room = (CAPACITY.milli_cpus as f64 - service_cpus).max(1.0);
    let speed = (room / batch_cpus.max(1.0)).min(1.0) / (1.0 + 0.06 * noise);
    let service = Resources {
        milli_cpus: service_cpus as u64,
        memory_mb: SERVICE_MEMORY_MB,
        accelerators: 0,
    };
    let slowdown = (1.0 + pressing).powf(1.25) + 5.0 * short;
    Effect { slowdown, speed, overfull: total > 1.0, service }
}
