//! Decisions on placement: which job starts where, what yields to whom, and who is at fault.
//!
//! [`Placer::place`] is a pure decision over a [`Fleet`] that its caller keeps up to date. The
//! placer proposes; the agent's ledger has the last word on what fits. The reasons for the
//! policy are in `docs/design/0300-placement.md`, its figures in
//! `docs/measurements/placement.md`.

// Rows and policy carry what the next rounds read.
#![allow(dead_code)]

pub mod amounts;
mod candidate;
mod decision;
mod fleet;
mod group;
mod interner;
mod observation;
mod outcome;
mod placer;
mod policy;
mod reason;
mod resource;
mod row;
mod task_view;
mod wish;
mod worker_state;
mod worker_view;

pub use candidate::Candidate;
pub use decision::Decision;
pub use fleet::{Fleet, WorkerKey};
pub use observation::Observation;
pub use outcome::RunOutcome;
pub use placer::Placer;
pub use policy::PlacementPolicy;
pub use reason::Reason;
pub use resource::Resource;
pub use task_view::TaskView;
pub use wish::Wish;
pub use worker_state::WorkerState;
pub use worker_view::WorkerView;
