//! What the worker's list of tasks tells.

use std::collections::HashMap;

use geraniumpost_schema::{Name, TaskState};

use super::{Adoption, LedgerAction, Phase, Task, VmLedger, WorkerTask};
use crate::Millis;

impl VmLedger {
    pub(super) fn on_listed(
        &mut self,
        asked: Millis,
        listed: Vec<WorkerTask>,
        now: Millis,
        actions: &mut Vec<LedgerAction>,
    ) {
        let listed: HashMap<(Name, u64), WorkerTask> =
            listed.into_iter().map(|task| ((task.job.clone(), task.epoch), task)).collect();
        for found in listed.values() {
            self.on_found(found, now, actions);
        }
        self.note_vanished(&listed, asked, now, actions);
        self.advance_adoption(asked, actions);
    }

    fn advance_adoption(&mut self, asked: Millis, actions: &mut Vec<LedgerAction>) {
        if self.adoption == Adoption::Complete {
            return;
        }
        self.adoption = self.adoption.after_list(asked, self.config.settle_ms);
        if self.is_complete() && std::mem::take(&mut self.inventory_owed) {
            actions.push(self.inventory());
        }
    }

    fn on_found(&mut self, found: &WorkerTask, now: Millis, actions: &mut Vec<LedgerAction>) {
        match self.tasks.get(&found.job) {
            Some(task) if task.epoch == found.epoch => self.compare(found, now, actions),
            Some(task) if task.phase.is_live() || task.epoch > found.epoch => {
                drop_stranger(found, actions);
            }
            _ if self.is_settled(found) => drop_stranger(found, actions),
            _ => self.adopt(found, now, actions),
        }
    }

    fn is_settled(&self, found: &WorkerTask) -> bool {
        self.epochs.get(&found.job).is_some_and(|&(known, _)| found.epoch <= known)
    }

    fn adopt(&mut self, found: &WorkerTask, now: Millis, actions: &mut Vec<LedgerAction>) {
        let phase = match found.state {
            TaskState::Starting | TaskState::Running => Phase::Running,
            ended => Phase::Ended(ended),
        };
        let mut task = Task::new(found.job.clone(), found.epoch, None, phase, now);
        task.observe(found.usage, &found.checkpoint);
        task.result.clone_from(&found.result);
        task.lease_until = now.plus(self.config.worker_lease_ms);
        task.last_renewal = Millis::default();
        self.counters.adopted += 1;
        self.remember(&found.job, found.epoch, now);
        actions.push(LedgerAction::Report(task.report()));
        self.tasks.insert(found.job.clone(), task);
    }

    fn compare(&mut self, found: &WorkerTask, now: Millis, actions: &mut Vec<LedgerAction>) {
        let Some(task) = self.tasks.get_mut(&found.job) else { return };
        if task.is_ended() {
            return;
        }
        task.observe(found.usage, &found.checkpoint);
        task.start_is_settled();
        match found.state {
            TaskState::Starting | TaskState::Running => {
                if task.phase == Phase::Starting {
                    task.enter(Phase::Running, now);
                    actions.push(LedgerAction::Report(task.report()));
                }
            }
            TaskState::Done | TaskState::Failed => {
                task.result.clone_from(&found.result);
                self.end(&found.job, found.state, now, actions);
            }
            _ => {
                let state = task.end_state();
                self.end(&found.job, state, now, actions);
            }
        }
    }

    /// Ends runs that the worker no longer knows, as after its own restart.
    ///
    /// A list says nothing of a run whose call was made after the list was asked for.
    fn note_vanished(
        &mut self,
        listed: &HashMap<(Name, u64), WorkerTask>,
        asked: Millis,
        now: Millis,
        actions: &mut Vec<LedgerAction>,
    ) {
        let vanished: Vec<Name> = self
            .tasks
            .values()
            .filter(|task| task.phase.is_live() && task.phase != Phase::Starting)
            .filter(|task| task.since < asked && !task.start_may_arrive(now, &self.config))
            .filter(|task| !listed.contains_key(&(task.job.clone(), task.epoch)))
            .map(|task| task.job.clone())
            .collect();
        for job in vanished {
            self.counters.vanished += 1;
            let state = self.tasks.get(&job).map_or(TaskState::Lapsed, Task::end_state);
            self.end(&job, state, now, actions);
        }
    }
}

/// Ends a run that the ledger has no place for: a start that took effect after the ledger had
/// barred it, or a task whose end was settled but not yet forgotten.
fn drop_stranger(found: &WorkerTask, actions: &mut Vec<LedgerAction>) {
    let (job, epoch) = (found.job.clone(), found.epoch);
    if found.state == TaskState::Running {
        actions.push(LedgerAction::Stop { job, epoch });
    } else {
        actions.push(LedgerAction::Forget { job, epoch });
    }
}
