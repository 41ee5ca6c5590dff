//! Scheduler for latency-critical and batch work that share VMs.

pub mod config;
pub mod logs;
pub mod metrics;
