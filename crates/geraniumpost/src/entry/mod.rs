//! The process that serves callers and operators. It routes requests and keeps no durable state.
//!
//! The decisions are made in the core (`Router`, `RetryPolicy`, `Membership`); this module performs
//! the I/O.

mod agent_link;
mod attempt;
mod caller_request;
mod callers;
mod claims;
mod context;
mod datagrams;
mod dispatch;
mod entry_registry;
mod gauges;
mod link_event;
mod link_maintenance;
mod links;
mod pause_detector;
mod peers;
mod reply;
mod role;
mod route;
mod views;

pub use agent_link::AgentLink;
pub use caller_request::CallerRequest;
pub use context::EntryContext;
pub use link_event::LinkEvent;
pub use peers::Peers;
pub use reply::Reply;
pub use role::run;
