use geraniumpost_schema::{Name, ToAgent};

use super::JobResponse;
use crate::placement::Observation;

/// What a [`Planner`](super::Planner) asks the shell to do.
#[derive(Debug, Clone, PartialEq)]
pub enum PlannerAction {
    /// Write a bucket if it still has the expected revision.
    Commit {
        /// The bucket.
        bucket: usize,
        /// Revision it must have, none if it must be absent.
        expected: Option<u64>,
        /// The value.
        value: Vec<u8>,
    },
    /// Read a bucket.
    Read {
        /// The bucket.
        bucket: usize,
    },
    /// Send a frame to an agent; it may be dropped if there is no link.
    Send {
        /// The agent.
        agent: Name,
        /// The frame.
        frame: ToAgent,
    },
    /// Answer a submitter or canceller.
    Reply {
        /// The number given with the event.
        reply: u64,
        /// The answer.
        answer: JobResponse,
    },
    /// Let the placer learn.
    Observe(Observation),
    /// Tell the lease that no earlier holder grants holds any more.
    PredecessorsExpired,
    /// Stop planning: another planner has taken over, or the records can't be read.
    StepDown(&'static str),
}
