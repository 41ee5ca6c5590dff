//! Who plans for a region; see `docs/design/0202-planner-and-holds.md`.

mod holder;
mod lease_action;
mod lease_config;
mod lease_event;
mod planner_lease;
mod standing;
mod step;
mod takeover;
mod tenure;
mod term_record;

pub use holder::Holder;
pub use lease_action::LeaseAction;
pub use lease_config::LeaseConfig;
pub use lease_event::LeaseEvent;
pub use planner_lease::PlannerLease;
pub use standing::Standing;
use step::Step;
pub use takeover::Takeover;
use tenure::Tenure;
pub use term_record::{TermRecord, alive_key, term_key};
