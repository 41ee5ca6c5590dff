//! Scheduler for latency-critical and batch work that share VMs.

pub mod cli;
pub mod client;
pub mod config;
pub mod console;
pub mod logs;
pub mod metrics;
