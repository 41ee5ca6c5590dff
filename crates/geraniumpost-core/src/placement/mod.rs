//! Placement of jobs on workers: starts, preemption, throttling, and quarantine of failing workers.
//!
//! [`Placer::place`] is a pure function of a [`Fleet`] that its caller keeps up to date. The placer
//! only proposes: the agent's ledger decides what fits on its VM. The reasons for the policy are in
//! `docs/design/0300-placement.md` and `docs/design/0301-harm-and-pressure.md`, measurements in
//! `docs/measurements/placement.md`.

pub mod amounts;
mod candidate;
mod decide;
mod decision;
mod eviction_budget;
mod explanations;
mod failure_attribution;
mod fleet;
mod interference_model;
mod interner;
mod job_context;
mod latency_control;
mod latency_forecasts;
mod location_counts;
mod mitigation;
mod no_capacity;
mod observation;
mod observe;
mod outcome;
mod placement_request;
mod placer;
mod planned_fleet;
mod policy;
mod preemption;
mod queue;
mod reason;
mod rejection;
mod reservations;
mod resource;
mod ridge;
mod run_history;
mod run_segment;
mod scan;
mod smoothed_latency;
mod task_view;
mod urgent_demand;
mod usage_estimates;
mod usage_sample;
mod weighted_location_counts;
mod worker_record;
mod worker_row;
mod worker_state;
mod worker_view;

pub use candidate::Candidate;
pub use decision::Decision;
pub use fleet::{Fleet, WorkerKey};
pub use interference_model::InterferenceModel;
pub use interner::Interner;
pub use observation::Observation;
pub use outcome::RunOutcome;
pub use placement_request::PlacementRequest;
pub use placer::Placer;
pub use policy::PlacementPolicy;
pub use reason::Reason;
pub use resource::Resource;
pub use task_view::TaskView;
pub use worker_state::WorkerState;
pub use worker_view::WorkerView;
