//! The process beside each endpoint: one authority on what runs on its VM.
//!
//! Entries connect to it and send requests and tasks; it announces itself to them by heartbeats.
//! What it decides is in [`RequestState`] and in the core; this module moves bytes.

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
pub use request_state::{RequestState, Work};
pub use role::run;
