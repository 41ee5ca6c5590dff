//! The planner of a region, see `docs/design/0202-planner-and-holds.md`.

mod agent_view;
mod agents;
mod bucket_slot;
mod commits;
mod effect;
mod job_response;
mod job_view;
mod placement_execution;
#[expect(clippy::module_inception, reason = "the type gives the folder its name")]
mod planner;
mod planner_action;
mod planner_config;
mod planner_counters;
mod planner_event;
mod predecessors;
mod records;
mod reports;
mod requests;
mod run;
mod run_goal;
mod runs;

use agent_view::AgentView;
use bucket_slot::{BucketSlot, BucketStage};
use effect::Effect;
pub use job_response::JobResponse;
pub use job_view::JobView;
pub use planner::Planner;
pub use planner_action::PlannerAction;
pub use planner_config::PlannerConfig;
pub use planner_counters::PlannerCounters;
pub use planner_event::PlannerEvent;
use predecessors::Predecessors;
use run::Run;
use run_goal::RunGoal;
