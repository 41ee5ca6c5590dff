//! The process that callers and operators reach: it routes requests and keeps nothing that must
//! last.
//!
//! What it decides is in the core (`Router`, `RetryPolicy`, `Membership`); this module moves bytes.

mod agent_link;
mod attempt;
mod callers;
mod claims;
mod context;
mod datagrams;
mod dispatch;
mod gauges;
mod incoming;
mod link_event;
mod link_keeper;
mod links;
mod pauses;
mod peers;
mod reply;
mod role;
mod roster;
mod route;
mod views;

pub use agent_link::AgentLink;
pub use context::EntryContext;
pub use incoming::Incoming;
pub use link_event::LinkEvent;
pub use peers::Peers;
pub use reply::Reply;
pub use role::run;
