//! Scheduler for latency-critical and batch work that share VMs.

pub mod logs;
pub mod metrics;
