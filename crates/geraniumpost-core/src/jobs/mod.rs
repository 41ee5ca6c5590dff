//! Decisions on jobs: their life, their record in the store, who plans, and what a VM runs.
//!
//! * [`JobRecord`] is the life of one job as a state machine with named transitions.
//! * [`Bucket`] is the store value that carries many records in one group commit.
//! * [`PlannerLease`] decides who plans for a region.
//! * [`Planner`] turns submissions, reports and placement decisions into commits and orders.
//! * [`VmLedger`] is the agent's account of its VM.
//!
//! See `docs/design/0201-job-records.md` and `docs/design/0202-planner-and-holds.md`.

pub mod codes;
mod job_record;
mod job_spec;
mod job_state;
mod lease;
mod ledger;
mod now;
mod planner;
mod store;
mod transition;
mod transition_error;

pub use job_record::JobRecord;
pub use job_spec::JobSpec;
pub use job_state::JobState;
pub use lease::{
    LeaseAction, LeaseConfig, LeaseEvent, LeaseHolder, LeaseRole, PlannerLease, Takeover,
    TermRecord, alive_key, term_key,
};
pub use ledger::{LedgerAction, LedgerConfig, LedgerCounters, LedgerEvent, VmLedger, WorkerTask};
pub use now::Now;
pub use planner::{
    JobResponse, JobView, Planner, PlannerAction, PlannerConfig, PlannerCounters, PlannerEvent,
};
pub use store::{BUCKETS, Bucket, BucketError, Tombstones, bucket_key, bucket_of};
pub use transition::Transition;
pub use transition_error::TransitionError;
