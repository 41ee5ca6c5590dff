use std::collections::BTreeMap;

use geraniumpost_standin::worker::{WorkerEvent, WorkerEventKind};

/// One run of a job on a worker, assembled from the events in the worker's record.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(super) struct JobRun<'a> {
    pub(super) job: &'a str,
    pub(super) worker: &'a str,
    pub(super) epoch: u64,
    pub(super) started_us: u64,
    /// Time at which the run ended, `u64::MAX` if it has not ended.
    pub(super) ended_us: u64,
    pub(super) end: Option<WorkerEventKind>,
    pub(super) resumed_from: &'a str,
    pub(super) checkpoint: Option<&'a str>,
    pub(super) result: &'a str,
}

impl<'a> JobRun<'a> {
    /// Groups the events in the records of all workers into the runs of each job, sorted by start.
    ///
    /// `lost` maps each worker whose VM was lost to the time of the loss, at which its runs ended.
    pub(super) fn group(
        record: &'a [WorkerEvent],
        lost: &BTreeMap<String, u64>,
    ) -> BTreeMap<&'a str, Vec<Self>> {
        let mut jobs: BTreeMap<&str, Vec<Self>> = BTreeMap::new();
        for event in record {
            let runs = jobs.entry(&event.task).or_default();
            if event.kind == WorkerEventKind::Started {
                runs.push(Self::from_start(event));
            } else if let Some(run) = runs.iter_mut().rev().find(|run| run.includes(event)) {
                run.add(event);
            }
        }
        for run in jobs.values_mut().flatten().filter(|run| run.end.is_none()) {
            run.ended_us = lost.get(run.worker).copied().unwrap_or(u64::MAX);
        }
        for runs in jobs.values_mut() {
            runs.sort_by_key(|run| run.started_us);
        }
        jobs
    }

    fn from_start(event: &'a WorkerEvent) -> Self {
        Self {
            job: &event.task,
            worker: &event.worker,
            epoch: event.epoch,
            started_us: event.at_us,
            ended_us: u64::MAX,
            end: None,
            resumed_from: &event.detail,
            checkpoint: None,
            result: "",
        }
    }

    fn includes(&self, event: &WorkerEvent) -> bool {
        self.worker == event.worker && self.epoch == event.epoch && self.end.is_none()
    }

    fn add(&mut self, event: &'a WorkerEvent) {
        if event.kind == WorkerEventKind::Checkpointed {
            self.checkpoint = Some(&event.detail);
        }
        if event.kind.ends_run() {
            self.ended_us = event.at_us;
            self.end = Some(event.kind);
            self.result = &event.detail;
        }
    }
}
