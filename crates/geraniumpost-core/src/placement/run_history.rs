use std::collections::HashMap;

use geraniumpost_schema::Name;

use super::run_segment::RunSegment;
use super::task_view::FULL_SPEED;
use crate::Millis;

/// How long an ended segment is kept; measurements that arrive later are attributed to no task.
const RETENTION_MS: u64 = 60_000;
/// Number of ended segments kept per worker, so that a worker that fails every job does not use up
/// memory.
const MAX_ENDED: usize = 128;

/// The tasks that ran on each worker over time.
///
/// Measurements arrive late. Attributed to the tasks of the present, they would blame a quiet task
/// that has just started for a noisy one that has just been evicted, and tasks would be evicted to
/// no effect.
#[derive(Debug, Clone, Default)]
pub struct RunHistory {
    workers: HashMap<Name, Vec<RunSegment>>,
}

impl RunHistory {
    /// Opens a segment for a task's start.
    pub fn record_start(
        &mut self,
        worker: &Name,
        job: &Name,
        class: &Name,
        milli_cpus: u64,
        at: Millis,
    ) {
        let segments = self.workers.entry(worker.clone()).or_default();
        segments.push(RunSegment {
            job: job.clone(),
            class: class.clone(),
            milli_cpus: milli_cpus as f64,
            started: at,
            ended: None,
        });
    }

    /// Closes a task's segment and drops segments that ended long ago.
    pub fn record_end(&mut self, worker: &Name, job: &Name, at: Millis) {
        let Some(segments) = self.workers.get_mut(worker) else { return };
        close_segment(segments, job, at);
        segments.retain(|segment| segment.ended.is_none_or(|ended| at.since(ended) < RETENTION_MS));
        let ended = segments.iter().filter(|segment| segment.ended.is_some()).count();
        if ended > MAX_ENDED {
            let mut surplus = ended - MAX_ENDED;
            segments.retain(|segment| {
                let drop = surplus > 0 && segment.ended.is_some();
                surplus -= usize::from(drop);
                !drop
            });
        }
        if segments.is_empty() {
            self.workers.remove(worker);
        }
    }

    /// Drops the segments of workers that have left the fleet.
    pub fn retain_workers(&mut self, is_present: impl Fn(&Name) -> bool) {
        self.workers.retain(|worker, _| is_present(worker));
    }

    /// Opens a new segment for a task at another speed.
    pub fn record_throttle(
        &mut self,
        worker: &Name,
        job: &Name,
        before: u32,
        permille: u32,
        at: Millis,
    ) {
        let Some(segments) = self.workers.get_mut(worker) else { return };
        let Some(segment) = close_segment(segments, job, at) else { return };
        let full = segment.milli_cpus * f64::from(FULL_SPEED) / f64::from(before.max(1));
        let milli_cpus = full * f64::from(permille) / f64::from(FULL_SPEED);
        segments.push(RunSegment { milli_cpus, started: at, ended: None, ..segment });
    }

    /// Returns the segments of a worker that cover a time.
    pub fn at(&self, worker: &Name, at: Millis) -> impl Iterator<Item = &RunSegment> {
        self.workers.get(worker).into_iter().flatten().filter(move |segment| segment.covers(at))
    }
}

/// Closes a job's open segment and returns it as it was before.
fn close_segment(segments: &mut [RunSegment], job: &Name, at: Millis) -> Option<RunSegment> {
    let segment =
        segments.iter_mut().find(|segment| segment.job == *job && segment.ended.is_none())?;
    let segment_before = segment.clone();
    segment.ended = Some(at);
    Some(segment_before)
}
