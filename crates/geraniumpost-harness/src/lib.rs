//! Starts real geraniumpost processes beside stand-ins and checks what they promised.
//!
//! The demo, the soak runs and the failure tests share it; it is never shipped.

mod binaries;
pub mod check;
mod loopback;
mod process;
mod wait;

pub use binaries::Binaries;
pub use loopback::Loopback;
pub use process::Process;
pub use wait::{wait_for, wait_until};
