//! Decisions on placement: which job starts where, what yields to whom, and who is at fault.
//!
//! [`Placer::place`] is a pure decision over a [`Fleet`] that its caller keeps up to date. The
//! placer proposes; the agent's ledger has the last word on what fits. The reasons for the
//! policy are in `docs/design/0300-placement.md` and `docs/design/0301-harm-and-pressure.md`, its
//! figures in `docs/measurements/placement.md`.

pub mod amounts;
mod blame;
mod candidate;
mod deciding;
mod decision;
mod draft;
mod eviction_budget;
mod explanations;
mod fleet;
mod forecasts;
mod gauge;
mod group;
mod history;
mod holds;
mod interference_model;
mod interner;
mod learning;
mod nearness;
mod observation;
mod outcome;
mod placement_request;
mod placer;
mod policy;
mod pressure;
mod queue;
mod reason;
mod refusing;
mod relieving;
mod resource;
mod ridge;
mod row;
mod scan;
mod size_sample;
mod sizes;
mod span;
mod task_view;
mod turn;
mod urgent_demand;
mod urgent_room;
mod waiting;
mod worker_record;
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
