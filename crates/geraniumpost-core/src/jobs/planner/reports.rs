//! What agents say of runs.

use geraniumpost_schema::{Inventory, Name, TaskRef, TaskReport, TaskState, ToAgent};

use super::{Effect, Planner, PlannerAction, Wanted};
use crate::{
    jobs::{JobRecord, JobState, Now, Transition, bucket_of},
    placement::{Observation, RunOutcome},
};

/// Shortest pause after a refused run.
const REFUSED_MS: u64 = 300;

impl Planner {
    pub(super) fn on_inventory(
        &mut self,
        agent: &Name,
        inventory: &Inventory,
        moment: Now,
        actions: &mut Vec<PlannerAction>,
    ) {
        let Some(view) = self.agents.get_mut(agent) else { return };
        if inventory.term != self.term || view.link != Some(inventory.incarnation) {
            return;
        }
        if !self.is_ready() {
            // Asked for again: before the records are read, nothing can be told from the list.
            return;
        }
        if let Some(view) = self.agents.get_mut(agent) {
            view.inventoried = true;
        }
        for report in &inventory.tasks {
            self.on_report(agent, report, moment, actions);
        }
        self.bar_missing(agent, inventory);
    }

    /// Sees to the runs that the agent should have but has not, and tells the sizes of the others.
    ///
    /// A start that is merely lost is sent again. In any other case the run may have begun: the agent
    /// is told to bar it, and the job waits for that word.
    fn bar_missing(&mut self, agent: &Name, inventory: &Inventory) {
        let listed = |job: &Name, epoch: u64| {
            inventory.tasks.iter().any(|task| task.job == *job && task.epoch == epoch)
        };
        for (job, run) in self.runs.iter_mut().filter(|(_, run)| run.agent == *agent) {
            if !run.committed {
                continue;
            }
            run.last_order = None;
            self.restless.insert(job.clone());
            if listed(job, run.epoch) {
                run.sized = false;
                continue;
            }
            if run.seen || !run.may_start(inventory.incarnation) {
                run.wanted = Wanted::Stop;
            }
            run.seen = false;
        }
    }

    pub(super) fn on_report(
        &mut self,
        agent: &Name,
        report: &TaskReport,
        moment: Now,
        actions: &mut Vec<PlannerAction>,
    ) {
        if !self.slots[bucket_of(&report.job)].fenced {
            // The agent repeats it; before the record is read, nothing can be told from it.
            return;
        }
        let current = self
            .runs
            .get(&report.job)
            .is_some_and(|run| run.epoch == report.epoch && run.agent == *agent);
        if !current {
            self.on_stale(agent, report, moment, actions);
        } else if matches!(report.state, TaskState::Starting | TaskState::Running) {
            self.on_progress(report, moment, actions);
        } else {
            self.on_end(agent, report, moment, actions);
        }
    }

    /// Answers a report of a run that is over, or that belongs to no known job.
    fn on_stale(
        &mut self,
        agent: &Name,
        report: &TaskReport,
        moment: Now,
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
                let effect = Effect::Settled { agent: agent.clone(), job: job.clone(), epoch };
                self.after_commit(&job, effect, moment, actions);
            }
        }
    }

    fn on_progress(&mut self, report: &TaskReport, moment: Now, actions: &mut Vec<PlannerAction>) {
        let job = &report.job;
        let usage = report.usage;
        self.fleet.update_task(job, |task| task.usage(usage));
        self.observe_usage(report, moment, actions);
        let Some(run) = self.runs.get_mut(job) else { return };
        let first = !std::mem::replace(&mut run.seen, true);
        if run.is_settled() {
            self.restless.remove(job);
        }
        if first {
            self.observe_start(job, moment, actions);
        }
        self.note_checkpoint(report, moment);
    }

    /// Keeps a newer checkpoint's name, to be written with the next change of its bucket.
    fn note_checkpoint(&mut self, report: &TaskReport, moment: Now) {
        let slot = &mut self.slots[bucket_of(&report.job)];
        let Some(mut record) = slot.bucket.get(&report.job).cloned() else { return };
        if record.note_checkpoint(&report.checkpoint) {
            slot.bucket.put(record);
            slot.lazy_since.get_or_insert(moment.clock);
        }
    }

    fn on_end(
        &mut self,
        agent: &Name,
        report: &TaskReport,
        moment: Now,
        actions: &mut Vec<PlannerAction>,
    ) {
        let (job, epoch) = (&report.job, report.epoch);
        let was = self.record(job).map(JobRecord::state);
        self.observe_end(job, outcome(report.state), moment, actions);
        let step = self.ending(report, moment);
        if self.change(job, step, moment).is_ok() {
            self.count_end(report.state, was == Some(JobState::Cancelling));
        }
        let effect = Effect::Settled { agent: agent.clone(), job: job.clone(), epoch };
        self.after_commit(job, effect, moment, actions);
    }

    fn ending(&self, report: &TaskReport, moment: Now) -> Transition {
        let checkpoint = report.checkpoint.clone();
        match report.state {
            TaskState::Done => Transition::Complete { result: report.result.clone() },
            TaskState::Failed => self.failure(report, moment),
            TaskState::Evicted => Transition::Evicted { checkpoint },
            TaskState::Refused => {
                let wait = moment.jitter(REFUSED_MS, REFUSED_MS);
                Transition::Refused { not_before_ms: moment.wall_ms + wait }
            }
            TaskState::Stopped => Transition::Stopped { checkpoint },
            _ => Transition::Lost { checkpoint },
        }
    }

    fn failure(&self, report: &TaskReport, moment: Now) -> Transition {
        let record = self.record(&report.job);
        let class = record.and_then(|record| self.classes.get(&record.spec().class));
        let attempts = record.map_or(0, JobRecord::attempts);
        let base = self.config.backoff_ms.saturating_mul(1 << attempts.min(16));
        let wait = base.min(self.config.max_backoff_ms);
        Transition::RunFailed {
            reason: report.result.clone(),
            max_attempts: class.map_or(3, |class| class.max_attempts),
            not_before_ms: moment.wall_ms + moment.jitter(wait / 2, wait),
        }
    }

    const fn count_end(&mut self, state: TaskState, cancelled: bool) {
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

    fn observe_start(&self, job: &Name, moment: Now, actions: &mut Vec<PlannerAction>) {
        let Some(record) = self.record(job) else { return };
        actions.push(PlannerAction::Observe(Observation::Started {
            job: job.clone(),
            customer: record.spec().customer.clone(),
            class: record.spec().class.clone(),
            worker: record.worker().clone(),
            need: record.spec().need,
            at: moment.clock,
        }));
    }

    fn observe_usage(&self, report: &TaskReport, moment: Now, actions: &mut Vec<PlannerAction>) {
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
            at: moment.clock,
        }));
    }

    pub(super) fn observe_end(
        &self,
        job: &Name,
        outcome: RunOutcome,
        moment: Now,
        actions: &mut Vec<PlannerAction>,
    ) {
        let Some(run) = self.runs.get(job) else { return };
        actions.push(PlannerAction::Observe(Observation::Ended {
            job: job.clone(),
            worker: run.agent.clone(),
            outcome,
            at: moment.clock,
        }));
    }
}

const fn outcome(state: TaskState) -> RunOutcome {
    match state {
        TaskState::Done => RunOutcome::Completed,
        TaskState::Failed => RunOutcome::Failed,
        TaskState::Lapsed => RunOutcome::Lost,
        _ => RunOutcome::Stopped,
    }
}
