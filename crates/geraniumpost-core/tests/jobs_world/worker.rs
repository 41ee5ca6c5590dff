use std::collections::BTreeMap;

use geraniumpost_core::jobs::{LedgerAction, LedgerEvent, WorkerTask};
use geraniumpost_core::placement::amounts;
use geraniumpost_schema::{Name, Resources, TaskState};

pub const LEASE_MS: u64 = 2_000;

#[derive(Debug, Clone)]
struct Running {
    task: WorkerTask,
    need: Resources,
    lease_until: u64,
    ends_at: u64,
}

/// A worker that runs tasks under leases and ends them itself when they lapse.
#[derive(Debug, Default)]
pub struct Worker {
    tasks: BTreeMap<(Name, u64), Running>,
    pub starts: Vec<(Name, u64)>,
}

impl Worker {
    pub fn advance(&mut self, now: u64) {
        for running in self.tasks.values_mut() {
            if running.task.state != TaskState::Running {
                continue;
            }
            if now >= running.ends_at && running.ends_at <= running.lease_until {
                running.task.state = TaskState::Done;
                running.task.result = format!("done by {}", running.task.epoch);
            } else if now >= running.lease_until {
                running.task.state = TaskState::Lapsed;
            }
        }
    }

    /// Loses all tasks with the VM; the record of starts is the test's own.
    pub fn lose_all(&mut self) {
        self.tasks.clear();
    }

    pub fn running(&self) -> impl Iterator<Item = &WorkerTask> {
        self.tasks.values().map(|one| &one.task).filter(|task| task.state == TaskState::Running)
    }

    pub fn load(&self) -> Resources {
        let running = self.tasks.values().filter(|one| one.task.state == TaskState::Running);
        running.fold(amounts::NONE, |sum, one| amounts::plus(&sum, &one.need))
    }

    /// Runs a call and returns its answer.
    pub fn run(&mut self, call: LedgerAction, now: u64, length: u64) -> Option<LedgerEvent> {
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
                    let (lease_until, ends_at) = (now + LEASE_MS, now + length);
                    self.tasks
                        .insert(key, Running { task, need: order.need, lease_until, ends_at });
                }
                Some(LedgerEvent::Started { job: order.job, epoch: order.epoch })
            }
            LedgerAction::Checkpoint { job, epoch } => {
                let found = self.tasks.get_mut(&(job.clone(), epoch));
                let Some(one) = found.filter(|one| one.task.state == TaskState::Running) else {
                    return Some(LedgerEvent::CheckpointFailed { job, epoch });
                };
                let checkpoint = Name::from(format!("{job}@{epoch}"));
                one.task.checkpoint = checkpoint.clone();
                Some(LedgerEvent::Checkpointed { job, epoch, checkpoint })
            }
            LedgerAction::Stop { job, epoch } => {
                if let Some(one) = self.tasks.get_mut(&(job.clone(), epoch)) {
                    if one.task.state != TaskState::Running {
                        return None;
                    }
                    one.task.state = TaskState::Stopped;
                }
                Some(LedgerEvent::Stopped { job, epoch })
            }
            LedgerAction::Renew { job, epoch } => {
                if let Some(one) = self.tasks.get_mut(&(job.clone(), epoch)) {
                    one.lease_until = now + LEASE_MS;
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
        self.tasks.values().map(|one| one.task.clone()).collect()
    }
}
