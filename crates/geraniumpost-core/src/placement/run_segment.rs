use geraniumpost_schema::Name;

use crate::Millis;

/// A period in which a task ran on a worker at a constant speed.
#[derive(Debug, Clone)]
pub struct RunSegment {
    pub job: Name,
    pub class: Name,
    /// Processors that the task may use at its speed, in thousandths.
    pub milli_cpus: f64,
    pub started: Millis,
    /// End of the segment; `None` while the task runs at this speed.
    pub ended: Option<Millis>,
}

impl RunSegment {
    /// Returns whether `at` is in the segment. The start is inclusive and the end exclusive.
    pub fn covers(&self, at: Millis) -> bool {
        self.started <= at && self.ended.is_none_or(|ended| at < ended)
    }
}
