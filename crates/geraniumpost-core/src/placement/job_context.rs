use geraniumpost_schema::Resources;

use super::{Fleet, PlacementRequest};
use crate::Millis;

/// What the decision on one job is based on.
#[derive(Debug, Clone, Copy)]
pub struct JobContext<'a> {
    pub now: Millis,
    pub request: &'a PlacementRequest,
    /// Resources to reserve for the job.
    pub need: Resources,
    pub fleet: &'a Fleet,
}
