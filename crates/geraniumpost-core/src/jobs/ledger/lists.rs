//! Reconciliation with the worker's list of tasks.

use std::collections::HashMap;

use geraniumpost_schema::{Name, TaskState};

use super::{Adoption, LedgerAction, Phase, Task, VmLedger, WorkerTask};
use crate::Millis;

impl VmLedger {
    pub(super) fn on_listed(
        &mut self,
        requested_at: Millis,
        listed: Vec<WorkerTask>,
        now: Millis,
        actions: &mut Vec<LedgerAction>,
    ) {
        let listed: HashMap<(Name, u64), WorkerTask> =
            listed.into_iter().map(|task| ((task.job.clone(), task.epoch), task)).collect();
        for found in listed.values() {
            self.reconcile_task(found, now, actions);
        }
        self.end_vanished(&listed, requested_at, now, actions);
        self.advance_adoption(requested_at, actions);
    }

    fn advance_adoption(&mut self, requested_at: Millis, actions: &mut Vec<LedgerAction>) {
        if self.adoption == Adoption::Complete {
            return;
        }
        self.adoption = self.adoption.after_list(requested_at, self.config.settle_ms);
        if self.is_adoption_complete() && std::mem::take(&mut self.inventory_requested) {
            actions.push(self.inventory_action());
        }
    }

    fn reconcile_task(&mut self, found: &WorkerTask, now: Millis, actions: &mut Vec<LedgerAction>) {
        match self.tasks.get(&found.job) {
            Some(task) if task.epoch == found.epoch => self.update_known_task(found, now, actions),
            Some(task) if task.phase.is_live() || task.epoch > found.epoch => {
                discard_unexpected(found, actions);
            }
            _ if self.is_settled(found) => discard_unexpected(found, actions),
            _ => self.adopt_task(found, now, actions),
        }
    }

    fn is_settled(&self, found: &WorkerTask) -> bool {
        self.known_epochs.get(&found.job).is_some_and(|&(known, _)| found.epoch <= known)
    }

    fn adopt_task(&mut self, found: &WorkerTask, now: Millis, actions: &mut Vec<LedgerAction>) {
        let phase = match found.state {
            TaskState::Starting | TaskState::Running => Phase::Running,
            ended => Phase::Ended(ended),
        };
        let mut task = Task::new(found.job.clone(), found.epoch, None, phase, now);
        task.update_from_list(found.usage, &found.checkpoint);
        task.result.clone_from(&found.result);
        task.lease_until = now.plus(self.config.worker_lease_ms);
        task.last_renewal = Millis::default();
        self.counters.adopted += 1;
        self.record_epoch(&found.job, found.epoch, now);
        actions.push(LedgerAction::Report(task.report()));
        self.tasks.insert(found.job.clone(), task);
    }

    fn update_known_task(
        &mut self,
        found: &WorkerTask,
        now: Millis,
        actions: &mut Vec<LedgerAction>,
    ) {
        let Some(task) = self.tasks.get_mut(&found.job) else { return };
        if task.is_ended() {
            return;
        }
        task.update_from_list(found.usage, &found.checkpoint);
        task.settle_start();
        match found.state {
            TaskState::Starting | TaskState::Running => {
                if task.phase == Phase::Starting {
                    task.enter_phase(Phase::Running, now);
                    actions.push(LedgerAction::Report(task.report()));
                }
            }
            TaskState::Done | TaskState::Failed => {
                task.result.clone_from(&found.result);
                self.end_task(&found.job, found.state, now, actions);
            }
            _ => {
                let state = task.end_state();
                self.end_task(&found.job, state, now, actions);
            }
        }
    }

    /// Ends runs that are missing from the worker's list, for example after the worker restarted.
    ///
    /// A run is not ended if its phase began after the list was requested, or if its start may
    /// still take effect.
    fn end_vanished(
        &mut self,
        listed: &HashMap<(Name, u64), WorkerTask>,
        requested_at: Millis,
        now: Millis,
        actions: &mut Vec<LedgerAction>,
    ) {
        let vanished: Vec<Name> = self
            .tasks
            .values()
            .filter(|task| task.phase.is_live() && task.phase != Phase::Starting)
            .filter(|task| {
                task.phase_since < requested_at && !task.start_may_take_effect(now, &self.config)
            })
            .filter(|task| !listed.contains_key(&(task.job.clone(), task.epoch)))
            .map(|task| task.job.clone())
            .collect();
        for job in vanished {
            self.counters.vanished += 1;
            let state = self.tasks.get(&job).map_or(TaskState::Lapsed, Task::end_state);
            self.end_task(&job, state, now, actions);
        }
    }
}

/// Stops or deletes a run that the ledger does not expect: a start that took effect although the
/// ledger had blocked it, or a task whose end was settled but which the worker has not yet deleted.
fn discard_unexpected(found: &WorkerTask, actions: &mut Vec<LedgerAction>) {
    let (job, epoch) = (found.job.clone(), found.epoch);
    if found.state == TaskState::Running {
        actions.push(LedgerAction::Stop { job, epoch });
    } else {
        actions.push(LedgerAction::Forget { job, epoch });
    }
}
