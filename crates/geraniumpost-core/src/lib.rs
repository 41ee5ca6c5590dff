//! Scheduling decisions as plain state machines without I/O.
//!
//! Every decision has the shape `(state, event, now, random numbers) -> actions`. No clock, socket,
//! thread or global is read here, so a decision can be compared with a naive twin, replayed from
//! a seed and measured by itself. See `ARCHITECTURE.md` for how the shell drives this crate.

pub mod config;
pub mod jobs;
pub mod placement;
pub mod requests;
mod result_code;
mod time;

pub use result_code::ResultCode;
pub use time::{Micros, Millis};
