//! Who plans for a region; see `docs/design/0202-planner-and-holds.md`.

mod lease_action;
mod lease_config;
mod lease_event;
mod lease_holder;
mod lease_role;
mod planner_lease;
mod step;
mod takeover;
mod tenure;
mod term_record;

pub use lease_action::LeaseAction;
pub use lease_config::LeaseConfig;
pub use lease_event::LeaseEvent;
pub use lease_holder::LeaseHolder;
pub use lease_role::LeaseRole;
pub use planner_lease::PlannerLease;
use step::Step;
pub use takeover::Takeover;
use tenure::Tenure;
pub use term_record::{TermRecord, alive_key, term_key};
