use std::sync::Arc;

use geraniumpost_schema::Name;
use serde::{Deserialize, Serialize};

use crate::{SpecError, StepSpec};

/// Maximum number of tasks of a job over all its steps. The record of a larger job would exceed the
/// store's limit on the size of a value.
pub const MAX_TASKS: u64 = 20_000;

/// A submitted job: a payload for every task, and steps that form a DAG.
#[derive(Debug, Clone, PartialEq, Eq, Default, Serialize, Deserialize)]
pub struct JobSpec {
    /// Opaque text that each task receives.
    pub payload: Arc<str>,
    /// The steps in topological order: the predecessors of a step all come earlier in the list.
    pub steps: Vec<StepSpec>,
    /// Number of occurrences; 0 for a job that runs once and immediately.
    pub repeat: u32,
    /// Time at which the first occurrence is due, in milliseconds since 1970.
    pub first_due_ms: u64,
    /// Time between the due times of successive occurrences, in milliseconds.
    pub interval_ms: u64,
}

impl JobSpec {
    /// Checks that the specification can be satisfied.
    ///
    /// # Errors
    ///
    /// Returns the first violated rule, with the number of the step if the rule concerns a single
    /// step.
    pub fn check(&self) -> Result<(), SpecError> {
        if self.steps.is_empty() {
            return Err(SpecError::NoSteps);
        }
        let tasks: u64 = self.steps.iter().map(|step| u64::from(step.count)).sum();
        if tasks > MAX_TASKS {
            return Err(SpecError::TooManyTasks(tasks));
        }
        for (number, step) in self.steps.iter().enumerate() {
            if step.count == 0 {
                return Err(SpecError::EmptyStep(number));
            }
            if step.after.iter().any(|&earlier| usize::from(earlier) >= number) {
                return Err(SpecError::LaterPredecessor(number));
            }
        }
        Ok(())
    }

    /// Returns the estimated duration of the longest chain of steps in milliseconds.
    pub fn critical_path_ms(&self) -> u64 {
        self.longest_chain_ms(|_| true)
    }

    /// Returns the estimated duration of the longest chain of steps in milliseconds, in which only
    /// steps for whose number `counts` returns true take time.
    pub fn longest_chain_ms(&self, counts: impl Fn(usize) -> bool) -> u64 {
        let mut ends: Vec<u64> = Vec::with_capacity(self.steps.len());
        for (number, step) in self.steps.iter().enumerate() {
            let begin = step.after.iter().map(|&s| ends[usize::from(s)]).max().unwrap_or(0);
            let duration_ms = if counts(number) { u64::from(step.estimate_ms) } else { 0 };
            ends.push(begin + duration_ms);
        }
        ends.into_iter().max().unwrap_or(0)
    }

    /// Returns whether any step is persistent. Such a job runs until it is cancelled.
    pub fn is_persistent(&self) -> bool {
        self.steps.iter().any(|step| step.persistent)
    }
}

/// Settings of a queue that apply to its jobs. Each job keeps a copy and does not depend on the
/// existence of its queue.
#[derive(Debug, Clone, PartialEq, Eq, Default, Serialize, Deserialize)]
pub struct QueueTerms {
    /// Name of the queue to which the job was submitted.
    pub queue: Name,
    /// The service whose minions run the tasks.
    pub service: Name,
    /// Priority of the jobs; 0 is the most urgent.
    pub priority: u32,
    /// Number of failed runs of a task after which the job fails.
    pub max_attempts: u32,
    /// Part of the latency objective that grows with the job, in percent of its critical path.
    pub stretch_percent: u32,
    /// Constant part of the latency objective, in milliseconds.
    pub target_ms: u32,
    /// Whether an admission service must approve the minions on which a step runs.
    pub needs_approval: bool,
}

impl QueueTerms {
    /// Returns the latency objective in milliseconds of a job with this critical path.
    pub const fn objective_ms(&self, critical_path_ms: u64) -> u64 {
        critical_path_ms * self.stretch_percent as u64 / 100 + self.target_ms as u64
    }
}
