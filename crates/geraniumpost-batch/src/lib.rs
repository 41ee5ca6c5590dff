//! Jobs of many steps and tasks: records, placement and the coordinator's decisions, without I/O.
//!
//! A [`Coordinator`] holds every job and every minion's view. Events go in through its methods,
//! [`Effect`]s come out; what must last is in [`JobRecord`]s, which it asks to be written before
//! anything depends on them (docs/design/0601-jobs-on-a-shared-store.md).
//!
//! # Example
//!
//! ```
//! use geraniumpost_batch::{CallerRequest, Coordinator, Demand, Effect, JobId, JobSpec, Now, QueueTerms, StepSpec};
//!
//! let mut coordinator = Coordinator::new(7, Now::default());
//! let step = StepSpec { count: 2, demand: Demand::default(), ..StepSpec::default() };
//! let spec = JobSpec { steps: vec![step], ..JobSpec::default() };
//! let ask = CallerRequest::Submit { job: JobId(1), spec, terms: QueueTerms::default() };
//! coordinator.handle_request(1, ask, Now::default());
//! // Nothing is answered before the record is written.
//! assert!(matches!(coordinator.take_effects(Now::default())[..], [.., Effect::Write(_)]));
//! ```

mod agent_message;
mod coordinator;
mod demand;
mod departures;
mod entry_message;
mod inheritance;
pub mod interference;
mod job_id;
mod job_record;
mod job_spec;
mod job_state;
mod knowledge;
mod learnt_pair;
mod look;
mod minion_info;
mod now;
mod order;
pub mod quorum;
mod spec_error;
mod step_spec;
mod task_id;
pub mod tuning;

pub use agent_message::{FromAgent, ToAgent};
pub use coordinator::{Coordinator, Effect, LongestWait, WriteBatch, lease_expiry_bound_ms};
pub use demand::Demand;
pub use departures::Departures;
pub use entry_message::{CallerRequest, CallerResponse, FromEntry, TermTime, ToEntry};
pub use inheritance::{PredecessorLeases, SilentCoordinator};
pub use job_id::{JobId, JobIdError};
pub use job_record::{JobRecord, Occurrence, Place, TaskPhase, TaskRecord};
pub use job_spec::{JobSpec, MAX_TASKS, QueueTerms};
pub use job_state::JobState;
pub use knowledge::InterferenceSnapshot;
pub use learnt_pair::InterferencePair;
pub use look::{EndKind, EndedTask, PollResult, RunningTask};
pub use minion_info::MinionInfo;
pub use now::Now;
pub use order::{Order, OrderKind, OrderOutcome, OrderResult, OrderVerb};
pub use spec_error::SpecError;
pub use step_spec::StepSpec;
pub use task_id::{TaskId, TaskIdError};
