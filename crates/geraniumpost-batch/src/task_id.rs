use std::str::FromStr;

use derive_more::{Display, Error};
use serde::{Deserialize, Serialize};

use crate::JobId;

/// Identifier of a task: its job, occurrence, step and index within the step.
///
/// # Example
///
/// ```
/// use geraniumpost_batch::TaskId;
/// let id: TaskId = "5c0e7a21d94b36f8.0.1.17".parse().unwrap();
/// assert_eq!((id.step, id.index), (1, 17));
/// assert_eq!(id.to_string(), "5c0e7a21d94b36f8.0.1.17");
/// ```
#[derive(
    Debug, Display, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[display("{job}.{occurrence}.{step}.{index}")]
pub struct TaskId {
    /// Job that the task belongs to.
    pub job: JobId,
    /// Number of the job's occurrence, from 0.
    pub occurrence: u32,
    /// Number of the step within the job, from 0.
    pub step: u16,
    /// Number of the task within the step, from 0.
    pub index: u32,
}

/// The text does not have the form of a task id.
#[derive(Debug, Display, Error, Clone, Copy, PartialEq, Eq)]
#[display("a task id has the form JOB.OCCURRENCE.STEP.INDEX")]
pub struct TaskIdError;

impl FromStr for TaskId {
    type Err = TaskIdError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        let mut parts = text.split('.');
        let mut next = || parts.next().ok_or(TaskIdError);
        let job = next()?.parse().map_err(|_| TaskIdError)?;
        let occurrence = next()?.parse().map_err(|_| TaskIdError)?;
        let step = next()?.parse().map_err(|_| TaskIdError)?;
        let index = next()?.parse().map_err(|_| TaskIdError)?;
        if parts.next().is_some() {
            return Err(TaskIdError);
        }
        Ok(Self { job, occurrence, step, index })
    }
}
