use std::collections::HashMap;

use geraniumpost_schema::Name;

use super::span::Span;
use super::task_view::FULL_SPEED;
use crate::Millis;

/// How long an ended stretch is remembered; later measurements charge nobody.
const KEPT_MS: u64 = 60_000;
/// Ended stretches remembered per worker, so that a worker that fails everything costs no memory.
const KEPT: usize = 128;

/// Who ran when on each worker.
///
/// Measurements arrive late. Charged to the tasks of the present, a quiet task that has just
/// started would be blamed for the noisy one that has just been evicted; one would notice by
/// evictions that help nobody.
#[derive(Debug, Clone, Default)]
pub struct History {
    workers: HashMap<Name, Vec<Span>>,
}

impl History {
    /// Notes a task's start.
    pub fn start(&mut self, worker: &Name, job: &Name, class: &Name, milli_cpus: u64, at: Millis) {
        let spans = self.workers.entry(worker.clone()).or_default();
        spans.push(Span {
            job: job.clone(),
            class: class.clone(),
            milli_cpus: milli_cpus as f64,
            from: at,
            until: None,
        });
    }

    /// Notes a task's end and forgets what ended long ago.
    pub fn end(&mut self, worker: &Name, job: &Name, at: Millis) {
        let Some(spans) = self.workers.get_mut(worker) else { return };
        close(spans, job, at);
        spans.retain(|span| span.until.is_none_or(|until| at.since(until) < KEPT_MS));
        let ended = spans.iter().filter(|span| span.until.is_some()).count();
        if ended > KEPT {
            let mut surplus = ended - KEPT;
            spans.retain(|span| {
                let drop = surplus > 0 && span.until.is_some();
                surplus -= usize::from(drop);
                !drop
            });
        }
        if spans.is_empty() {
            self.workers.remove(worker);
        }
    }

    /// Forgets workers that are gone.
    pub fn keep(&mut self, is_there: impl Fn(&Name) -> bool) {
        self.workers.retain(|worker, _| is_there(worker));
    }

    /// Notes a task's change of speed.
    pub fn throttle(&mut self, worker: &Name, job: &Name, before: u32, permille: u32, at: Millis) {
        let Some(spans) = self.workers.get_mut(worker) else { return };
        let Some(span) = close(spans, job, at) else { return };
        let full = span.milli_cpus * f64::from(FULL_SPEED) / f64::from(before.max(1));
        let milli_cpus = full * f64::from(permille) / f64::from(FULL_SPEED);
        spans.push(Span { milli_cpus, from: at, until: None, ..span });
    }

    /// Returns the stretches that covered a time on a worker.
    pub fn at(&self, worker: &Name, at: Millis) -> impl Iterator<Item = &Span> {
        self.workers.get(worker).into_iter().flatten().filter(move |span| span.covers(at))
    }
}

/// Ends a job's open stretch and returns it as it was.
fn close(spans: &mut [Span], job: &Name, at: Millis) -> Option<Span> {
    let span = spans.iter_mut().find(|span| span.job == *job && span.until.is_none())?;
    let open = span.clone();
    span.until = Some(at);
    Some(open)
}
