use geraniumpost_schema::Resources;

use super::scenario::CAPACITY;

/// Load that one task puts on its VM.
#[derive(Debug, Clone, Copy)]
pub struct TaskLoad {
    /// Processor use after throttling.
    pub milli_cpus: f64,
    /// Present noise towards the worker's service.
    pub noise: f64,
}

/// Effect of tasks on the service and the batch work of one VM.
///
/// The formula deliberately differs from the placer's model: it is quadratic in the load, convex in
/// the noise, and has a kink where processors become scarce.
#[derive(Debug, Clone, Copy)]
pub struct Effect {
    /// Ratio of the service's p99 to its p99 without batch work at the same load.
    pub slowdown: f64,
    /// Relative speed of batch tasks; 1 if resources suffice and nothing interferes.
    pub speed: f64,
    /// Whether demand exceeds the VM's processors.
    pub overcommitted: bool,
    /// Resources that the service uses.
    pub service: Resources,
}

/// Processors that a service uses at full load.
const SERVICE_MILLI_CPUS: f64 = 22_000.0;
/// Memory that a service uses.
const SERVICE_MEMORY_MB: u64 = 36_000;

/// Returns the ratio of a service's p99 without batch work to its p99 when idle.
pub fn queueing_factor(load: f64) -> f64 {
    1.0 + 0.5 * load * load
}

/// Computes how the tasks slow the service and each other.
pub fn effect(load: f64, tasks: &[TaskLoad]) -> Effect {
    let service_cpus = SERVICE_MILLI_CPUS * load;
    let batch_cpus: f64 = tasks.iter().map(|task| task.milli_cpus).sum();
    let noise: f64 = tasks.iter().map(|task| task.noise * task.milli_cpus / 16_000.0).sum();
    let total = (service_cpus + batch_cpus) / CAPACITY.milli_cpus as f64;
    let shortage = (total - 0.92).max(0.0);
    let interference = noise * (0.25 + 0.75 * load * load);
    let free = (CAPACITY.milli_cpus as f64 - service_cpus).max(1.0);
    let speed = (free / batch_cpus.max(1.0)).min(1.0) / (1.0 + 0.06 * noise);
    let service = Resources {
        milli_cpus: service_cpus as u64,
        memory_mb: SERVICE_MEMORY_MB,
        accelerators: 0,
    };
    let slowdown = (1.0 + interference).powf(1.25) + 5.0 * shortage;
    Effect { slowdown, speed, overcommitted: total > 1.0, service }
}
