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

/// Queue of calls to the worker, which makes the calls for the same job in order.
#[derive(Debug)]
pub(super) struct CallQueue {
    worker: Worker,
    clock: Clock,
    answers: mpsc::UnboundedSender<LedgerEvent>,
    lease_until: Arc<AtomicU64>,
    jobs: HashMap<Name, mpsc::UnboundedSender<LedgerAction>>,
}

impl CallQueue {
    /// Creates an empty queue. The outcomes of the calls are sent to `answers`.
    pub(super) fn new(
        worker: Worker,
        clock: Clock,
        answers: mpsc::UnboundedSender<LedgerEvent>,
    ) -> Self {
        let lease_until = Arc::default();
        Self { worker, clock, answers, lease_until, jobs: HashMap::new() }
    }

    /// Sets the expiry time of the agent lease, until which tasks may be started and renewed.
    pub(super) fn set_lease_until(&self, until: Millis) {
        self.lease_until.store(until.0, Ordering::SeqCst);
    }

    /// Makes a call after all earlier calls for the same job have completed.
    pub(super) fn push(&mut self, job: &Name, call: LedgerAction) {
        let last = matches!(call, LedgerAction::Forget { .. });
        let queue = self.jobs.get(job).cloned().unwrap_or_else(|| self.open(job));
        // Cannot fail, because the receiving task ends only after this sender is dropped.
        let _ = queue.send(call);
        if last {
            self.jobs.remove(job);
        }
    }

    /// Makes a call immediately, for example a renewal, which must not wait for a slow checkpoint.
    pub(super) fn call_now(&self, call: LedgerAction) {
        let (worker, answers) = (self.worker.clone(), self.answers.clone());
        let (clock, lease_until) = (self.clock, Arc::clone(&self.lease_until));
        tokio::spawn(async move {
            worker_calls::make(&worker, call, clock, &lease_until, &answers).await;
        });
    }

    fn open(&mut self, job: &Name) -> mpsc::UnboundedSender<LedgerAction> {
        let (tx, mut calls) = mpsc::unbounded_channel();
        let (worker, answers) = (self.worker.clone(), self.answers.clone());
        let (clock, lease_until) = (self.clock, Arc::clone(&self.lease_until));
        tokio::spawn(async move {
            while let Some(call) = calls.recv().await {
                worker_calls::make(&worker, call, clock, &lease_until, &answers).await;
            }
        });
        self.jobs.insert(job.clone(), tx.clone());
        tx
    }
}
