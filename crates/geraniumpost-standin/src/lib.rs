//! Stand-ins for the platform, for tests and benchmarks only.
//!
//! There are stand-ins of the key-value service, a worker's task interface and a minion, and a
//! TCP/UDP relay. Each is a function that runs it on the caller's runtime and a subcommand of one
//! binary. Faults are injected through its control listener, see [`Control`].

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
