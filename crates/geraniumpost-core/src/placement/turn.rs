use geraniumpost_schema::Resources;

use super::{Fleet, PlacementRequest};
use crate::Millis;

/// A job's turn in the queue.
#[derive(Debug, Clone, Copy)]
pub struct Turn<'a> {
    /// The present.
    pub now: Millis,
    /// The job.
    pub wish: &'a PlacementRequest,
    /// What to reserve for it.
    pub need: Resources,
    /// The workers.
    pub fleet: &'a Fleet,
}
