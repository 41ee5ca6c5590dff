//! Scheduling of jobs with many steps and tasks: job records, placement and the coordinator's
//! decisions, without I/O.
//!
//! A [`Coordinator`] holds the state of every job and minion. Its methods handle events, and
//! [`Coordinator::take_effects`] returns the [`Effect`]s that its caller has to carry out. Durable
//! state is kept in [`JobRecord`]s, which are written before any effect that depends on them
//! (docs/design/0601-jobs-on-a-shared-store.md).
//!
//! # Example
//!
//! ```
//! use geraniumpost_batch::{
//!     CallerRequest, Coordinator, Demand, Effect, JobId, JobSpec, Now, QueueTerms, StepSpec,
//! };
//!
//! let mut coordinator = Coordinator::new(7, Now::default());
//! let step = StepSpec { count: 2, demand: Demand::default(), ..StepSpec::default() };
//! let spec = JobSpec { steps: vec![step], ..JobSpec::default() };
//! let request = CallerRequest::Submit { job: JobId(1), spec, terms: QueueTerms::default() };
//! coordinator.handle_request(1, request, Now::default());
//! // The caller gets no response before the record is written.
//! assert!(matches!(coordinator.take_effects(Now::default())[..], [.., Effect::Write(_)]));
//! ```

pub mod admission;
mod agent_message;
mod coordinator;
mod demand;
mod departures;
pub mod disturbance;
mod entry_message;
mod evacuations;
pub mod failure_odds;
mod feature;
mod incarnation;
pub mod interference;
mod interference_pair;
mod interference_snapshot;
mod job_id;
mod job_record;
mod job_spec;
mod job_state;
mod minion_info;
mod now;
mod order;
mod poll_result;
mod predecessor_leases;
pub mod quorum;
pub mod shares;
mod spec_error;
mod step_spec;
pub mod stragglers;
mod task_crashes;
mod task_id;
pub mod tuning;

pub use agent_message::{FromAgent, ToAgent};
pub use coordinator::{
    AdmissionStatus, Coordinator, CopyCounts, Effect, EvacuationStatus, LongestWait, WriteBatch,
    lease_expiry_bound_ms,
};
pub use demand::Demand;
pub use departures::Departures;
pub use entry_message::{CallerRequest, CallerResponse, FromEntry, TermTime, ToEntry};
pub use evacuations::{EvacuationChanges, EvacuationReading, Evacuations, StartPermission};
pub use feature::{Feature, Features, UnknownFeature};
pub use incarnation::Incarnation;
pub use interference_pair::InterferencePair;
pub use interference_snapshot::InterferenceSnapshot;
pub use job_id::{JobId, JobIdError};
pub use job_record::{JobRecord, Occurrence, Place, TaskPhase, TaskRecord};
pub use job_spec::{JobSpec, MAX_TASKS, QueueTerms};
pub use job_state::JobState;
pub use minion_info::MinionInfo;
pub use now::Now;
pub use order::{Order, OrderKind, OrderKindTag, OrderOutcome, OrderResult};
pub use poll_result::{EndKind, EndedTask, PollResult, RunningTask};
pub use predecessor_leases::{PredecessorLeases, SilentCoordinator};
pub use spec_error::SpecError;
pub use step_spec::StepSpec;
pub use task_crashes::TaskCrashes;
pub use task_id::{TaskId, TaskIdError};
