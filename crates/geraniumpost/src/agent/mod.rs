//! The process beside each endpoint, which alone decides what runs on its VM.
//!
//! Agents announce themselves to entries by heartbeats. Entries connect to them, and send requests
//! and orders for tasks. The decisions are made in [`RequestState`] and in the core; this module
//! performs the I/O.

mod context;
mod entries;
mod heartbeats;
mod kept_answer;
mod links;
mod minion_runs;
mod request_state;
mod role;
pub mod tasks;

pub use context::AgentContext;
pub use entries::KnownEntries;
pub use kept_answer::KeptAnswer;
pub use request_state::{MinionRequest, RequestState};
pub use role::run;
