//! Scheduling decisions as state machines without I/O.
//!
//! Every decision has the shape `(state, event, now, random numbers) -> actions`. This crate reads
//! no clock, socket, thread or global, so that a decision can be compared with a naive
//! implementation, replayed from a seed and benchmarked in isolation. `ARCHITECTURE.md` describes
//! how the shell drives this crate.

pub mod config;
pub mod jobs;
pub mod placement;
pub mod requests;
mod result_code;
mod time;

pub use result_code::ResultCode;
pub use time::{Micros, Millis};
