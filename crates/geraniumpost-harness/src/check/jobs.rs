use std::collections::{BTreeMap, BTreeSet};

use geraniumpost_standin::worker::{WorkerEvent, WorkerEventKind};

use super::job_run::JobRun;
use super::{JobViolation, ObservedJob};

/// Compares the jobs that the system shows with the runs in the workers' records.
///
/// `record` holds the events of all workers, `jobs` the jobs that had to complete by now. `lost`
/// maps each worker whose VM was lost to the time of the loss in microseconds.
pub fn check_jobs(
    record: &[WorkerEvent],
    jobs: &[ObservedJob],
    lost: &BTreeMap<String, u64>,
) -> Vec<JobViolation> {
    let runs = JobRun::group(record, lost);
    let mut found = over_capacity(record);
    for runs in runs.values() {
        found.extend(check_order(runs));
        found.extend(check_checkpoints(runs));
        found.extend(check_done(runs, lost));
    }
    found.extend(jobs.iter().filter_map(|job| check_result(job, &runs)));
    found
}

fn over_capacity(record: &[WorkerEvent]) -> Vec<JobViolation> {
    let over = record.iter().filter(|e| e.kind == WorkerEventKind::Overfilled);
    let over = over
        .map(|e| JobViolation::OverCapacity { worker: e.worker.clone(), held: e.detail.clone() });
    over.collect()
}

/// Checks that runs of a job do not overlap and that each has a higher epoch than the one before.
fn check_order(runs: &[JobRun<'_>]) -> Vec<JobViolation> {
    let mut found = Vec::new();
    for pair in runs.windows(2) {
        let (first, second) = (&pair[0], &pair[1]);
        if second.started_us < first.ended_us {
            found.push(JobViolation::Overlap {
                job: first.job.to_owned(),
                first: first.epoch,
                first_worker: first.worker.to_owned(),
                second: second.epoch,
                second_worker: second.worker.to_owned(),
            });
        }
        if second.epoch <= first.epoch {
            found.push(JobViolation::EpochNotHigher {
                job: first.job.to_owned(),
                first: first.epoch,
                second: second.epoch,
            });
        }
    }
    found
}

fn check_checkpoints(runs: &[JobRun<'_>]) -> Vec<JobViolation> {
    let made: BTreeSet<&str> = runs.iter().filter_map(|run| run.checkpoint).collect();
    let unknown = runs
        .iter()
        .filter(|run| !run.resumed_from.is_empty() && !made.contains(run.resumed_from))
        .map(|run| JobViolation::UnknownCheckpoint {
            job: run.job.to_owned(),
            checkpoint: run.resumed_from.to_owned(),
        });
    unknown.chain(runs.windows(2).filter_map(lost_checkpoint)).collect()
}

/// Checks that the run after a stopped one resumed from its checkpoint.
fn lost_checkpoint(pair: &[JobRun<'_>]) -> Option<JobViolation> {
    let (stopped, next) = (&pair[0], &pair[1]);
    let expected = stopped.checkpoint?;
    let lost = stopped.end == Some(WorkerEventKind::Stopped) && next.resumed_from != expected;
    lost.then(|| JobViolation::LostCheckpoint {
        job: stopped.job.to_owned(),
        expected: expected.to_owned(),
        resumed: next.resumed_from.to_owned(),
    })
}

/// Checks that at most one run completed the job. Runs on lost VMs do not count, because their
/// results may have been lost too.
fn check_done(runs: &[JobRun<'_>], lost: &BTreeMap<String, u64>) -> Option<JobViolation> {
    let done = runs.iter().filter(|run| run.end == Some(WorkerEventKind::Done));
    let kept: Vec<_> = done.filter(|run| !lost.contains_key(run.worker)).collect();
    (kept.len() > 1)
        .then(|| JobViolation::CompletedTwice { job: kept[0].job.to_owned(), times: kept.len() })
}

fn check_result(job: &ObservedJob, runs: &BTreeMap<&str, Vec<JobRun<'_>>>) -> Option<JobViolation> {
    let runs = runs.get(job.id.as_str()).map(Vec::as_slice).unwrap_or_default();
    let mut done = runs.iter().filter(|run| run.end == Some(WorkerEventKind::Done));
    match &job.result {
        None if done.next().is_some() => Some(JobViolation::LostResult(job.id.clone())),
        None => Some(JobViolation::Lost(job.id.clone())),
        Some(result) => {
            let produced = done.any(|run| run.result == result);
            (!produced).then(|| JobViolation::UnknownResult {
                job: job.id.clone(),
                result: result.clone(),
            })
        }
    }
}
