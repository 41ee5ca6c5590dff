use geraniumpost_schema::Name;

use crate::Millis;

/// A period in which a task ran on a worker at a constant speed.
#[derive(Debug, Clone)]
pub struct RunSegment {
    pub job: Name,
    pub class: Name,
    /// Processors that it used, in thousandths, after throttling.
    pub milli_cpus: f64,
    pub started: Millis,
    /// When the segment ended, if it has.
    pub ended: Option<Millis>,
}

impl RunSegment {
    /// Returns whether the segment includes a time.
    pub fn covers(&self, at: Millis) -> bool {
        self.started <= at && self.ended.is_none_or(|ended| at < ended)
    }
}
