//! Stand-ins for the platform, used by tests and benches, never shipped.
//!
//! The key-value service, a worker's task interface, a minion and a TCP/UDP relay, each as a
//! function that runs it inside the caller's runtime and as a subcommand of one binary. All of
//! them can be told to misbehave through their control listener, see [`Control`].

pub mod cli;
mod clock;
mod control;
pub mod http;
mod journal;
pub mod minion;
pub mod relay;
mod standin;
pub mod store;
pub mod worker;

pub use clock::now_us;
pub use control::Control;
pub use journal::Journal;
pub use standin::Standin;
