use geraniumpost_schema::Resources;

use super::{Fleet, PlacementRequest};
use crate::Millis;

/// A job to decide on, with the time and the fleet.
#[derive(Debug, Clone, Copy)]
pub struct JobContext<'a> {
    pub now: Millis,
    pub request: &'a PlacementRequest,
    /// Resources to reserve for the job, at least the declared need.
    pub need: Resources,
    pub fleet: &'a Fleet,
}
