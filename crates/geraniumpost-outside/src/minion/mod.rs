//! Adapter to a minion, the back end of a service on the VM of an agent.

mod answer;
mod client;
mod hop_by_hop;
mod minion_error;

pub use answer::Answer;
pub use client::Minion;
pub use hop_by_hop::strip_hop_by_hop;
pub use minion_error::MinionError;
