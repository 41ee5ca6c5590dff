//! Election of the planner of a region; see `docs/design/0202-planner-and-holds.md`.

mod held_term;
mod lease_action;
mod lease_config;
mod lease_event;
mod lease_holder;
mod lease_role;
mod planner_lease;
mod store_call;
mod takeover;
mod term_record;

use held_term::HeldTerm;
pub use lease_action::LeaseAction;
pub use lease_config::LeaseConfig;
pub use lease_event::LeaseEvent;
pub use lease_holder::LeaseHolder;
pub use lease_role::LeaseRole;
pub use planner_lease::PlannerLease;
use store_call::StoreCall;
pub use takeover::Takeover;
pub use term_record::{TermRecord, alive_key, term_key};
