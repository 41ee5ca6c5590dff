//! Handling of agents' reports and inventories.

use geraniumpost_schema::{Inventory, Name, TaskRef, TaskReport, TaskState, ToAgent};

use super::{Effect, Planner, PlannerAction, RunGoal};
use crate::{
    jobs::{JobRecord, JobState, Now, Transition, bucket_of},
    placement::{Observation, RunOutcome},
};

/// Minimum delay before the next run after a refusal.
const REFUSAL_BACKOFF_MS: u64 = 300;

impl Planner {
    pub(super) fn on_inventory(
        &mut self,
        agent: &Name,
        inventory: &Inventory,
        now: Now,
        actions: &mut Vec<PlannerAction>,
    ) {
        let Some(view) = self.agents.get_mut(agent) else { return };
        if inventory.term != self.term || view.link != Some(inventory.incarnation) {
            return;
        }
        if !self.is_ready() {
            // The inventory is requested again later. It cannot be evaluated before all records are
            // read.
            return;
        }
        if let Some(view) = self.agents.get_mut(agent) {
            view.inventory_received = true;
        }
        for report in &inventory.tasks {
            self.on_report(agent, report, now, actions);
        }
        self.reconcile_missing_runs(agent, inventory);
    }

    /// Marks the agent's committed runs for a new order: a listed run needs its size, and a missing
    /// run is started or stopped.
    ///
    /// A missing run is started only if no earlier start order can have taken effect. Otherwise it
    /// may have begun, so the agent is ordered to stop it or prevent its start, and the job waits
    /// for the agent's confirmation.
    fn reconcile_missing_runs(&mut self, agent: &Name, inventory: &Inventory) {
        let listed = |job: &Name, epoch: u64| {
            inventory.tasks.iter().any(|task| task.job == *job && task.epoch == epoch)
        };
        for (job, run) in self.runs.iter_mut().filter(|(_, run)| run.agent == *agent) {
            if !run.committed {
                continue;
            }
            run.last_order_at = None;
            self.unsettled_runs.insert(job.clone());
            if listed(job, run.epoch) {
                run.size_sent = false;
                continue;
            }
            if run.reported || !run.may_start(inventory.incarnation) {
                run.goal = RunGoal::Stop;
            }
            run.reported = false;
        }
    }

    pub(super) fn on_report(
        &mut self,
        agent: &Name,
        report: &TaskReport,
        now: Now,
        actions: &mut Vec<PlannerAction>,
    ) {
        if !self.slots[bucket_of(&report.job)].fenced {
            // The agent repeats the report. It cannot be evaluated before the record is read.
            return;
        }
        let current = self
            .runs
            .get(&report.job)
            .is_some_and(|run| run.epoch == report.epoch && run.agent == *agent);
        if !current {
            self.on_stale_report(agent, report, now, actions);
        } else if matches!(report.state, TaskState::Starting | TaskState::Running) {
            self.on_progress_report(report, now, actions);
        } else {
            self.on_end_report(agent, report, now, actions);
        }
    }

    /// Handles a report of a run that is not the current run of its job, or of an unknown job.
    fn on_stale_report(
        &mut self,
        agent: &Name,
        report: &TaskReport,
        now: Now,
        actions: &mut Vec<PlannerAction>,
    ) {
        let (job, epoch) = (report.job.clone(), report.epoch);
        match report.state {
            TaskState::Starting | TaskState::Running => {
                self.counters.late_runs += 1;
                let order = TaskRef { term: self.term, job, epoch };
                let (agent, frame) = (agent.clone(), ToAgent::Stop(order));
                actions.push(PlannerAction::Send { agent, frame });
            }
            state => {
                let counted = self
                    .record(&job)
                    .is_some_and(|record| record.epoch() == epoch && record.worker() == agent);
                if state == TaskState::Done && !counted {
                    self.counters.late_results += 1;
                }
                let effect = Effect::SendSettled { agent: agent.clone(), job: job.clone(), epoch };
                self.apply_after_commit(&job, effect, now, actions);
            }
        }
    }

    fn on_progress_report(
        &mut self,
        report: &TaskReport,
        now: Now,
        actions: &mut Vec<PlannerAction>,
    ) {
        let job = &report.job;
        let usage = report.usage;
        self.fleet.update_task(job, |task| task.usage(usage));
        self.observe_usage(report, now, actions);
        let Some(run) = self.runs.get_mut(job) else { return };
        let first = !std::mem::replace(&mut run.reported, true);
        if run.is_settled() {
            self.unsettled_runs.remove(job);
        }
        if first {
            self.observe_start(job, now, actions);
        }
        self.record_checkpoint(report, now);
    }

    /// Records the name of a newer checkpoint, to be written with the next commit of its bucket.
    fn record_checkpoint(&mut self, report: &TaskReport, now: Now) {
        let slot = &mut self.slots[bucket_of(&report.job)];
        let Some(mut record) = slot.bucket.get(&report.job).cloned() else { return };
        if record.record_checkpoint(&report.checkpoint) {
            slot.bucket.put(record);
            slot.checkpoint_since.get_or_insert(now.clock);
        }
    }

    fn on_end_report(
        &mut self,
        agent: &Name,
        report: &TaskReport,
        now: Now,
        actions: &mut Vec<PlannerAction>,
    ) {
        let (job, epoch) = (&report.job, report.epoch);
        let state_before = self.record(job).map(JobRecord::state);
        self.observe_end(job, run_outcome(report.state), now, actions);
        let transition = self.end_transition(report, now);
        if self.apply_transition(job, transition, now).is_ok() {
            self.count_run_end(report.state, state_before == Some(JobState::Cancelling));
        }
        let effect = Effect::SendSettled { agent: agent.clone(), job: job.clone(), epoch };
        self.apply_after_commit(job, effect, now, actions);
    }

    fn end_transition(&self, report: &TaskReport, now: Now) -> Transition {
        let checkpoint = report.checkpoint.clone();
        match report.state {
            TaskState::Done => Transition::Complete { result: report.result.clone() },
            TaskState::Failed => self.failure_transition(report, now),
            TaskState::Evicted => Transition::Evicted { checkpoint },
            TaskState::Refused => {
                let wait = now.jitter(REFUSAL_BACKOFF_MS, REFUSAL_BACKOFF_MS);
                Transition::Refused { not_before_ms: now.wall_ms + wait }
            }
            TaskState::Stopped => Transition::Stopped { checkpoint },
            _ => Transition::Lost { checkpoint },
        }
    }

    fn failure_transition(&self, report: &TaskReport, now: Now) -> Transition {
        let record = self.record(&report.job);
        let class = record.and_then(|record| self.classes.get(&record.spec().class));
        let attempts = record.map_or(0, JobRecord::attempts);
        let base = self.config.backoff_ms.saturating_mul(1 << attempts.min(16));
        let wait = base.min(self.config.max_backoff_ms);
        Transition::RunFailed {
            reason: report.result.clone(),
            max_attempts: class.map_or(3, |class| class.max_attempts),
            not_before_ms: now.wall_ms + now.jitter(wait / 2, wait),
        }
    }

    const fn count_run_end(&mut self, state: TaskState, cancelled: bool) {
        let counters = &mut self.counters;
        match state {
            TaskState::Done if cancelled => counters.late_results += 1,
            TaskState::Done => counters.completed += 1,
            TaskState::Failed => counters.failed_runs += 1,
            TaskState::Evicted => counters.evicted += 1,
            TaskState::Refused => counters.refused += 1,
            _ => counters.lost_runs += 1,
        }
    }

    fn observe_start(&self, job: &Name, now: Now, actions: &mut Vec<PlannerAction>) {
        let Some(record) = self.record(job) else { return };
        actions.push(PlannerAction::Observe(Observation::Started {
            job: job.clone(),
            customer: record.spec().customer.clone(),
            class: record.spec().class.clone(),
            worker: record.worker().clone(),
            need: record.spec().need,
            at: now.clock,
        }));
    }

    fn observe_usage(&self, report: &TaskReport, now: Now, actions: &mut Vec<PlannerAction>) {
        let Some(record) = self.record(&report.job) else { return };
        if report.usage == crate::placement::amounts::NONE {
            return;
        }
        actions.push(PlannerAction::Observe(Observation::Usage {
            job: report.job.clone(),
            customer: record.spec().customer.clone(),
            class: record.spec().class.clone(),
            need: record.spec().need,
            usage: report.usage,
            at: now.clock,
        }));
    }

    pub(super) fn observe_end(
        &self,
        job: &Name,
        outcome: RunOutcome,
        now: Now,
        actions: &mut Vec<PlannerAction>,
    ) {
        let Some(run) = self.runs.get(job) else { return };
        actions.push(PlannerAction::Observe(Observation::Ended {
            job: job.clone(),
            worker: run.agent.clone(),
            outcome,
            at: now.clock,
        }));
    }
}

const fn run_outcome(state: TaskState) -> RunOutcome {
    match state {
        TaskState::Done => RunOutcome::Completed,
        TaskState::Failed => RunOutcome::Failed,
        TaskState::Lapsed => RunOutcome::Lost,
        _ => RunOutcome::Stopped,
    }
}
