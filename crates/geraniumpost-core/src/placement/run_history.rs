use std::collections::HashMap;

use geraniumpost_schema::Name;

use super::run_segment::RunSegment;
use super::task_view::FULL_SPEED;
use crate::Millis;

/// Time after the end of a segment from which the next end of a run on the worker drops the
/// segment. Measurements that arrive afterwards are not attributed to its task.
const RETENTION_MS: u64 = 60_000;
/// Maximum number of ended segments per worker, so that a worker on which every job fails
/// immediately does not use up memory.
const MAX_ENDED_SEGMENTS: usize = 128;

/// Records which tasks ran on each worker at which time and speed.
///
/// Measurements of latency arrive late. If they were attributed to the tasks that run on arrival,
/// interference by a noisy task that was just evicted would be attributed to a quiet task that just
/// started, and more tasks would be evicted without effect.
#[derive(Debug, Clone, Default)]
pub struct RunHistory {
    /// Segments by worker.
    workers: HashMap<Name, Vec<RunSegment>>,
}

impl RunHistory {
    /// Opens a segment for a task that started at full speed with `milli_cpus`.
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

    /// Closes the segment of a task, and drops the worker's segments that ended [`RETENTION_MS`]
    /// ago or exceed [`MAX_ENDED_SEGMENTS`].
    pub fn record_end(&mut self, worker: &Name, job: &Name, at: Millis) {
        let Some(segments) = self.workers.get_mut(worker) else { return };
        close_segment(segments, job, at);
        segments.retain(|segment| segment.ended.is_none_or(|ended| at.since(ended) < RETENTION_MS));
        let ended = segments.iter().filter(|segment| segment.ended.is_some()).count();
        if ended > MAX_ENDED_SEGMENTS {
            let mut surplus = ended - MAX_ENDED_SEGMENTS;
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

    /// Drops the segments of workers for which `is_present` returns false.
    pub fn retain_workers(&mut self, is_present: impl Fn(&Name) -> bool) {
        self.workers.retain(|worker, _| is_present(worker));
    }

    /// Closes the segment of a task whose speed was `before` and opens one with speed `permille`,
    /// both in thousandths.
    pub fn record_speed_change(
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

    /// Returns the segments of the tasks that ran on `worker` at `at`.
    pub fn segments_at(&self, worker: &Name, at: Millis) -> impl Iterator<Item = &RunSegment> {
        self.workers.get(worker).into_iter().flatten().filter(move |segment| segment.covers(at))
    }
}

/// Closes the open segment of `job` at `at`, and returns a copy made before the change. `None` if
/// the job has no open segment.
fn close_segment(segments: &mut [RunSegment], job: &Name, at: Millis) -> Option<RunSegment> {
    let segment =
        segments.iter_mut().find(|segment| segment.job == *job && segment.ended.is_none())?;
    let segment_before = segment.clone();
    segment.ended = Some(at);
    Some(segment_before)
}
