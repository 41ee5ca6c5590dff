use std::sync::Arc;

use geraniumpost_schema::Name;
use serde::{Deserialize, Serialize};

use crate::{SpecError, StepSpec};

/// Most tasks that one job may have over all its steps; more would make its record larger than the
/// store's largest value.
pub const MAX_TASKS: u64 = 20_000;

/// What a submitter asks for: a payload that every task is given, and steps in a DAG.
#[derive(Debug, Clone, PartialEq, Eq, Default, Serialize, Deserialize)]
pub struct JobSpec {
    /// Opaque text handed to each task.
    pub payload: Arc<str>,
    /// The steps, in an order in which each names only earlier ones as predecessors.
    pub steps: Vec<StepSpec>,
    /// How often the steps run; 0 for a job that runs once, at once.
    pub repeat: u32,
    /// When the first repetition is due, in milliseconds since 1970.
    pub first_due_ms: u64,
    /// Milliseconds from one repetition's due time to the next.
    pub interval_ms: u64,
}

impl JobSpec {
    /// Checks what no schedule could satisfy.
    ///
    /// # Errors
    ///
    /// Names the first step that is wrong, and why.
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

    /// Returns the estimated length of the longest chain of steps in milliseconds.
    pub fn critical_path_ms(&self) -> u64 {
        let mut ends: Vec<u64> = Vec::with_capacity(self.steps.len());
        for step in &self.steps {
            let begin = step.after.iter().map(|&s| ends[usize::from(s)]).max().unwrap_or(0);
            ends.push(begin + u64::from(step.estimate_ms));
        }
        ends.into_iter().max().unwrap_or(0)
    }

    /// Returns whether any step runs until the job is cancelled.
    pub fn persistent(&self) -> bool {
        self.steps.iter().any(|step| step.persistent)
    }
}

/// How a queue wants its jobs to be treated; kept with each job, so that a job outlives its queue.
#[derive(Debug, Clone, PartialEq, Eq, Default, Serialize, Deserialize)]
pub struct QueueTerms {
    /// The queue.
    pub queue: Name,
    /// The service whose minions run its tasks.
    pub service: Name,
    /// 0 is the most urgent.
    pub priority: u32,
    /// Failed runs after which a task is given up.
    pub max_attempts: u32,
    /// The latency objective in percent of the job's longest chain.
    pub stretch_percent: u32,
    /// What is added to the objective, in milliseconds.
    pub target_ms: u32,
    /// Whether an admission service must approve each minion for a step.
    pub needs_approval: bool,
}

impl QueueTerms {
    /// Returns the latency objective of a job whose longest chain is `critical_path_ms` long.
    pub const fn objective_ms(&self, critical_path_ms: u64) -> u64 {
        critical_path_ms * self.stretch_percent as u64 / 100 + self.target_ms as u64
    }
}
