use geraniumpost_schema::Name;

use crate::Millis;

/// A stretch of time in which a task ran on a worker at one speed.
#[derive(Debug, Clone)]
pub struct Span {
    /// The job.
    pub job: Name,
    /// Its class.
    pub class: Name,
    /// Processors it took, in thousandths, after throttling.
    pub milli_cpus: f64,
    /// When the stretch began.
    pub from: Millis,
    /// When it ended, if it has.
    pub until: Option<Millis>,
}

impl Span {
    /// Returns whether the task ran at a time.
    pub fn covers(&self, at: Millis) -> bool {
        self.from <= at && self.until.is_none_or(|until| at < until)
    }
}
