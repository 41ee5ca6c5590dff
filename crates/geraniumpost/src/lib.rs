//! Scheduler for latency-critical and batch work that share VMs.
//!
//! This crate performs the I/O for the decisions of `geraniumpost-core` on `tokio`. [`entry`]
//! serves callers and operators, [`agent`] runs beside each endpoint, [`planner`] places the jobs
//! of a region and is active on one of its entries, and [`cli`] is the command line.
//! `ARCHITECTURE.md` shows how they work together.

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
