use std::collections::BTreeMap;

use geraniumpost_core::jobs::{LedgerAction, LedgerEvent, WorkerTask};
use geraniumpost_core::placement::amounts;
use geraniumpost_schema::{Name, Resources, TaskState};

pub const WORKER_LEASE_MS: u64 = 2_000;

#[derive(Debug, Clone)]
struct TaskEntry {
    task: WorkerTask,
    need: Resources,
    lease_until: u64,
    ends_at: u64,
}

/// A worker that runs tasks under leases and ends a task whose lease has expired.
#[derive(Debug, Default)]
pub struct Worker {
    /// Tasks by job and epoch, including ended tasks.
    tasks: BTreeMap<(Name, u64), TaskEntry>,
    /// Job and epoch of every start.
    pub starts: Vec<(Name, u64)>,
}

impl Worker {
    pub fn advance(&mut self, now: u64) {
        for entry in self.tasks.values_mut() {
            if entry.task.state != TaskState::Running {
                continue;
            }
            if now >= entry.ends_at && entry.ends_at <= entry.lease_until {
                entry.task.state = TaskState::Done;
                entry.task.result = format!("done by {}", entry.task.epoch);
            } else if now >= entry.lease_until {
                entry.task.state = TaskState::Lapsed;
            }
        }
    }

    /// Loses all tasks, as when the VM fails. `starts` remains for the checks at the end.
    pub fn lose_tasks(&mut self) {
        self.tasks.clear();
    }

    pub fn running(&self) -> impl Iterator<Item = &WorkerTask> {
        self.tasks.values().map(|entry| &entry.task).filter(|task| task.state == TaskState::Running)
    }

    /// Returns the sum of the declared sizes of all running tasks.
    pub fn allocated(&self) -> Resources {
        let running = self.tasks.values().filter(|entry| entry.task.state == TaskState::Running);
        running.fold(amounts::NONE, |sum, entry| amounts::plus(&sum, &entry.need))
    }

    /// Performs a call and returns the response, if there is one.
    pub fn handle(
        &mut self,
        call: LedgerAction,
        now: u64,
        duration_ms: u64,
    ) -> Option<LedgerEvent> {
        self.advance(now);
        match call {
            LedgerAction::Start(order) => {
                let key = (order.job.clone(), order.epoch);
                if !self.tasks.contains_key(&key) {
                    self.starts.push(key.clone());
                    let task = WorkerTask {
                        job: order.job.clone(),
                        epoch: order.epoch,
                        state: TaskState::Running,
                        checkpoint: order.checkpoint,
                        result: String::new(),
                        usage: Resources { milli_cpus: 1, memory_mb: 1, accelerators: 0 },
                    };
                    let (lease_until, ends_at) = (now + WORKER_LEASE_MS, now + duration_ms);
                    self.tasks
                        .insert(key, TaskEntry { task, need: order.need, lease_until, ends_at });
                }
                Some(LedgerEvent::Started { job: order.job, epoch: order.epoch })
            }
            LedgerAction::Checkpoint { job, epoch } => {
                let found = self.tasks.get_mut(&(job.clone(), epoch));
                let Some(entry) = found.filter(|entry| entry.task.state == TaskState::Running)
                else {
                    return Some(LedgerEvent::CheckpointFailed { job, epoch });
                };
                let checkpoint = Name::from(format!("{job}@{epoch}"));
                entry.task.checkpoint = checkpoint.clone();
                Some(LedgerEvent::Checkpointed { job, epoch, checkpoint })
            }
            LedgerAction::Stop { job, epoch } => {
                if let Some(entry) = self.tasks.get_mut(&(job.clone(), epoch)) {
                    if entry.task.state != TaskState::Running {
                        return None;
                    }
                    entry.task.state = TaskState::Stopped;
                }
                Some(LedgerEvent::Stopped { job, epoch })
            }
            LedgerAction::Renew { job, epoch } => {
                if let Some(entry) = self.tasks.get_mut(&(job.clone(), epoch)) {
                    entry.lease_until = now + WORKER_LEASE_MS;
                }
                Some(LedgerEvent::Renewed { job, epoch })
            }
            LedgerAction::Forget { job, epoch } => {
                self.tasks.remove(&(job, epoch));
                None
            }
            _ => None,
        }
    }

    pub fn list(&mut self, now: u64) -> Vec<WorkerTask> {
        self.advance(now);
        self.tasks.values().map(|entry| entry.task.clone()).collect()
    }
}
