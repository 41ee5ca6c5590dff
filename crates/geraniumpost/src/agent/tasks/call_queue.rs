use std::collections::HashMap;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};

use geraniumpost_core::Millis;
use geraniumpost_core::jobs::{LedgerAction, LedgerEvent};
use geraniumpost_outside::Worker;
use geraniumpost_schema::Name;
use tokio::sync::mpsc;

use super::worker_calls;
use crate::Clock;

/// Calls to the worker, in order for each job.
#[derive(Debug)]
pub(super) struct CallQueue {
    worker: Worker,
    clock: Clock,
    answers: mpsc::UnboundedSender<LedgerEvent>,
    hold_until: Arc<AtomicU64>,
    jobs: HashMap<Name, mpsc::UnboundedSender<LedgerAction>>,
}

impl CallQueue {
    /// Creates the queue; outcomes go to `answers`.
    pub(super) fn new(
        worker: Worker,
        clock: Clock,
        answers: mpsc::UnboundedSender<LedgerEvent>,
    ) -> Self {
        let hold_until = Arc::default();
        Self { worker, clock, answers, hold_until, jobs: HashMap::new() }
    }

    /// Sets until when tasks may be started and renewed.
    pub(super) fn set_hold_until(&self, until: Millis) {
        self.hold_until.store(until.0, Ordering::SeqCst);
    }

    /// Makes a call after the earlier ones for the same job.
    pub(super) fn push(&mut self, job: &Name, call: LedgerAction) {
        let last = matches!(call, LedgerAction::Forget { .. });
        let queue = self.jobs.get(job).cloned().unwrap_or_else(|| self.open(job));
        // The queue's task ends only when its sender here is dropped.
        let _ = queue.send(call);
        if last {
            self.jobs.remove(job);
        }
    }

    /// Makes a call at once; renewals must not wait behind a slow checkpoint.
    pub(super) fn at_once(&self, call: LedgerAction) {
        let (worker, answers) = (self.worker.clone(), self.answers.clone());
        let (clock, hold_until) = (self.clock, Arc::clone(&self.hold_until));
        tokio::spawn(async move {
            worker_calls::make(&worker, call, clock, &hold_until, &answers).await;
        });
    }

    fn open(&mut self, job: &Name) -> mpsc::UnboundedSender<LedgerAction> {
        let (tx, mut calls) = mpsc::unbounded_channel();
        let (worker, answers) = (self.worker.clone(), self.answers.clone());
        let (clock, hold_until) = (self.clock, Arc::clone(&self.hold_until));
        tokio::spawn(async move {
            while let Some(call) = calls.recv().await {
                worker_calls::make(&worker, call, clock, &hold_until, &answers).await;
            }
        });
        self.jobs.insert(job.clone(), tx.clone());
        tx
    }
}
