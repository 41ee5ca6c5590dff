use geraniumpost_schema::Name;
use serde::{Deserialize, Serialize};

use super::{JobSpec, JobState, Transition, TransitionError, codes};

/// Number of lost runs that are tolerated. A job that loses more is suspected of crashing its
/// workers, and fails.
const MAX_LOST_RUNS: u32 = 20;
/// Maximum length of a recorded result or reason in bytes, which limits the growth of records.
const MAX_TEXT_BYTES: usize = 256;

/// A job as it is kept in the store.
///
/// Every change goes through [`JobRecord::apply`]. The epoch numbers the runs and is incremented
/// each time a run ends without finishing the job, so that reports and orders of an earlier run can
/// be distinguished from the reports and orders of the current run.
///
/// # Example
///
/// ```
/// use geraniumpost_core::jobs::{JobRecord, JobSpec, JobState, Transition};
/// use geraniumpost_schema::Resources;
/// let spec = JobSpec {
///     id: "study-7".into(),
///     customer: "carrier-a".into(),
///     class: "study".into(),
///     need: Resources { milli_cpus: 500, memory_mb: 64, accelerators: 0 },
///     command: "coordinate".into(),
/// };
/// let mut record = JobRecord::new(spec, 1_000);
/// record.apply(Transition::Assign { worker: "agent-1".into() }, 2_000)?;
/// record.apply(Transition::Evicted { checkpoint: "cp-1".into() }, 3_000)?;
/// assert_eq!((record.state(), record.epoch()), (JobState::Pending, 2));
/// assert_eq!(record.checkpoint().as_str(), "cp-1");
/// # Ok::<(), geraniumpost_core::jobs::TransitionError>(())
/// ```
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct JobRecord {
    #[serde(flatten)]
    spec: JobSpec,
    state: JobState,
    epoch: u64,
    worker: Name,
    checkpoint: Name,
    attempts: u32,
    losses: u32,
    evictions: u32,
    submitted_ms: u64,
    finished_ms: u64,
    not_before_ms: u64,
    code: u16,
    result: String,
}

impl JobRecord {
    /// Creates the record of a job submitted at wall time `submitted_ms`.
    pub fn new(spec: JobSpec, submitted_ms: u64) -> Self {
        Self {
            spec,
            state: JobState::Pending,
            epoch: 1,
            worker: Name::default(),
            checkpoint: Name::default(),
            attempts: 0,
            losses: 0,
            evictions: 0,
            submitted_ms,
            finished_ms: 0,
            not_before_ms: 0,
            code: codes::ACCEPTED,
            result: String::new(),
        }
    }

    /// Applies a transition at wall time `wall_ms` and returns the new state.
    ///
    /// If the cancellation is recorded first, the job ends as cancelled whatever its run reports
    /// afterwards. If the completion is recorded first, the cancellation fails with
    /// [`TransitionError::Finished`].
    ///
    /// # Errors
    ///
    /// Returns an error if the transition is invalid in the current state; the record is then
    /// unchanged.
    pub fn apply(
        &mut self,
        transition: Transition,
        wall_ms: u64,
    ) -> Result<JobState, TransitionError> {
        match (self.state, transition) {
            (JobState::Done | JobState::Failed | JobState::Cancelled, _) => {
                return Err(TransitionError::Finished);
            }
            (JobState::Pending, Transition::Assign { worker }) => self.assign(worker),
            (JobState::Pending | JobState::Cancelling, Transition::Cancel) => {
                self.cancel_pending(wall_ms);
            }
            (JobState::Pending, Transition::GiveUp { code, reason }) => {
                self.finish(JobState::Failed, code, reason, wall_ms);
            }
            (JobState::Pending, _) => return Err(TransitionError::NotAssigned),
            (_, Transition::Assign { .. } | Transition::GiveUp { .. }) => {
                return Err(TransitionError::NotPending);
            }
            (JobState::Assigned, Transition::Cancel) => self.state = JobState::Cancelling,
            (JobState::Cancelling, _) => {
                self.finish(JobState::Cancelled, codes::CANCELLED, String::new(), wall_ms);
            }
            (JobState::Assigned, end) => self.end_run(end, wall_ms),
        }
        Ok(self.state)
    }

    /// Records a newer checkpoint of the current run and returns whether it differs from the
    /// recorded checkpoint.
    pub fn record_checkpoint(&mut self, checkpoint: &Name) -> bool {
        if checkpoint.is_empty() || *checkpoint == self.checkpoint {
            return false;
        }
        self.checkpoint = checkpoint.clone();
        true
    }

    fn assign(&mut self, worker: Name) {
        self.state = JobState::Assigned;
        self.worker = worker;
    }

    fn cancel_pending(&mut self, wall_ms: u64) {
        if self.state == JobState::Pending {
            self.finish(JobState::Cancelled, codes::CANCELLED, String::new(), wall_ms);
        }
    }

    fn end_run(&mut self, end: Transition, wall_ms: u64) {
        match end {
            Transition::Complete { result } => {
                self.finish(JobState::Done, codes::FINISHED, result, wall_ms);
            }
            Transition::Evicted { checkpoint } => {
                self.evictions += 1;
                self.requeue(&checkpoint);
            }
            Transition::Stopped { checkpoint } => self.requeue(&checkpoint),
            Transition::Lost { checkpoint } => self.end_lost_run(&checkpoint, wall_ms),
            Transition::RunFailed { reason, max_attempts, not_before_ms } => {
                self.end_failed_run(reason, max_attempts, not_before_ms, wall_ms);
            }
            Transition::Refused { not_before_ms } => {
                self.requeue(&Name::default());
                self.not_before_ms = not_before_ms;
            }
            Transition::Assign { .. } | Transition::Cancel | Transition::GiveUp { .. } => {}
        }
    }

    fn end_lost_run(&mut self, checkpoint: &Name, wall_ms: u64) {
        self.losses += 1;
        if self.losses > MAX_LOST_RUNS {
            self.finish(JobState::Failed, codes::LOST_TOO_OFTEN, String::new(), wall_ms);
        } else {
            self.requeue(checkpoint);
        }
    }

    fn end_failed_run(
        &mut self,
        reason: String,
        max_attempts: u32,
        not_before_ms: u64,
        wall_ms: u64,
    ) {
        self.attempts += 1;
        if self.attempts >= max_attempts {
            self.finish(JobState::Failed, codes::FAILED_TOO_OFTEN, reason, wall_ms);
            return;
        }
        self.requeue(&Name::default());
        self.not_before_ms = not_before_ms;
        self.result = sanitized(reason);
    }

    fn requeue(&mut self, checkpoint: &Name) {
        self.record_checkpoint(checkpoint);
        self.state = JobState::Pending;
        self.worker = Name::default();
        self.epoch += 1;
    }

    fn finish(&mut self, state: JobState, code: u16, result: String, wall_ms: u64) {
        self.state = state;
        self.code = code;
        self.result = sanitized(result);
        self.finished_ms = wall_ms.max(1);
    }

    /// Returns the job as it was submitted.
    pub const fn spec(&self) -> &JobSpec {
        &self.spec
    }

    /// Returns the id that the customer chose, unique in the region.
    pub const fn id(&self) -> &Name {
        &self.spec.id
    }

    /// Returns the state, which only [`JobRecord::apply`] changes.
    pub const fn state(&self) -> JobState {
        self.state
    }

    /// Returns the number of the current run, or of the next one while the job is pending.
    pub const fn epoch(&self) -> u64 {
        self.epoch
    }

    /// Returns the agent of the current run, or of the last run of a finished job. Empty while the
    /// job is pending, and if it finished while pending.
    pub const fn worker(&self) -> &Name {
        &self.worker
    }

    /// Returns the checkpoint that the next run resumes from, empty if there is none.
    pub const fn checkpoint(&self) -> &Name {
        &self.checkpoint
    }

    /// Returns the number of runs that failed by an error of their own.
    pub const fn attempts(&self) -> u32 {
        self.attempts
    }

    /// Returns the number of runs that were lost with their worker or after the agent's lease
    /// expired.
    pub const fn losses(&self) -> u32 {
        self.losses
    }

    /// Returns the number of runs that were checkpointed and stopped to free their resources.
    pub const fn evictions(&self) -> u32 {
        self.evictions
    }

    /// Returns the wall time of submission in milliseconds since the Unix epoch.
    pub const fn submitted_ms(&self) -> u64 {
        self.submitted_ms
    }

    /// Returns the wall time in milliseconds at which the job finished, 0 while it is unfinished.
    pub const fn finished_ms(&self) -> u64 {
        self.finished_ms
    }

    /// Returns the wall time in milliseconds before which the next run must not start.
    pub const fn not_before_ms(&self) -> u64 {
        self.not_before_ms
    }

    /// Returns the final result code, [`codes::ACCEPTED`] while the job is unfinished.
    pub const fn code(&self) -> u16 {
        self.code
    }

    /// Returns the result of a completed job, or the reason of its failure or last failed run.
    pub fn result(&self) -> &str {
        &self.result
    }
}

/// Replaces control characters, which take six times their size when encoded, and truncates the
/// text to [`MAX_TEXT_BYTES`].
fn sanitized(text: String) -> String {
    let mut text = text.replace(char::is_control, " ");
    let mut end = text.len().min(MAX_TEXT_BYTES);
    while !text.is_char_boundary(end) {
        end -= 1;
    }
    text.truncate(end);
    text
}
