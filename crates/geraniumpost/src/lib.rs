//! Scheduler for latency-critical and batch work that share VMs.
//!
//! This crate is the tokio shell around `geraniumpost-core`: it moves bytes between sockets and
//! decisions. [`entry`] is what callers and operators reach, [`agent`] runs beside each endpoint,
//! [`planner`] is the part of one entry per region that turns jobs into tasks, and [`cli`] is what
//! operators type. `ARCHITECTURE.md` shows how they work together.

pub mod agent;
pub mod batch;
pub mod cli;
pub mod client;
mod clock;
pub mod config;
pub mod console;
mod datagram_socket;
mod drop_reason;
pub mod entry;
pub mod entry_list;
pub mod headers;
mod in_flight;
pub mod logs;
pub mod metrics;
mod open_connections;
pub mod planner;
mod runtime;
mod stop_signal;

pub use clock::{Clock, wall_ms};
