//! How runs end, and what follows for their tasks and jobs.

use geraniumpost_schema::Name;

use super::Coordinator;
use super::run::{OrderState, Run};
use crate::tuning::{FAILURE_BACKOFF_MS, QUARANTINE_FAILURES, QUARANTINE_MS};
use crate::{EndKind, EndedTask, JobId, JobState, Now, StepSpec, TaskId, TaskPhase, TaskRecord};

impl Coordinator {
    /// Takes in the end of a run from a minion's list.
    pub(super) fn take_end(&mut self, minion: &Name, end: EndedTask, now: Now) {
        let Some(view) = self.minions.get_mut(minion) else { return };
        if end.sequence <= view.last_end {
            view.acknowledge_again |= end.sequence <= view.acknowledged;
            return;
        }
        view.last_end = end.sequence;
        let ours = self
            .runs
            .get(&end.task)
            .is_some_and(|run| run.number == end.run && run.place.minion == *minion);
        let change = if ours {
            self.note(format!(
                "decision=end job={} task={} run={} minion={minion} end={}",
                end.task.job, end.task, end.run, end.kind
            ));
            self.judge_minion(minion, &end, now);
            let version = self.end_run(end.task, end.kind, &end.checkpoint, now);
            Some((end.task.job, version))
        } else {
            None
        };
        if let Some(view) = self.minions.get_mut(minion) {
            view.unacknowledged.push_back((end.sequence, change));
        }
    }

    /// Ends a run: frees its room, and lets its task wait, be done or fail its job. Returns the
    /// version of the record that holds this.
    pub(super) fn end_run(
        &mut self,
        task: TaskId,
        kind: EndKind,
        checkpoint: &Name,
        now: Now,
    ) -> u64 {
        let run = self.remove_run(task);
        self.standing_ended(task, run.as_ref(), now);
        self.placing_due = true;
        let Some(job) = self.jobs.get_mut(&task.job) else { return 0 };
        if job.record.state.is_final() {
            self.forget_placement(task);
            return self.touch_final(task.job);
        }
        let spec = job.record.spec.steps[usize::from(task.step)].clone();
        if !checkpoint.is_empty() && spec.checkpoints {
            self.keep_checkpoint(task, &spec, checkpoint);
        }
        let bad = matches!(kind, EndKind::Failed | EndKind::LeaseExpired);
        let avoid = run.filter(|_| bad).map(|run| run.place.minion);
        if let Some(job) = self.jobs.get_mut(&task.job) {
            let hint = job.hints.entry(task).or_default();
            hint.not_before_ms = now.steady_ms + if bad { FAILURE_BACKOFF_MS } else { 0 };
            hint.avoid = avoid;
        }
        match kind {
            EndKind::Done if !spec.persistent => self.task_done(task, &spec, now),
            EndKind::Failed => self.task_failed(task, &spec, now),
            _ => self.task_waits(task, &spec, now),
        }
        self.touch(task.job)
    }

    fn task_done(&mut self, task: TaskId, spec: &StepSpec, now: Now) {
        let all = spec.gang;
        self.change_tasks(task, all, |record| record.phase = TaskPhase::Done);
        let Some(job) = self.jobs.get_mut(&task.job) else { return };
        job.hints.remove(&task);
        job.record.occurrences.retain(|occurrence| !occurrence.done());
        let over = job.record.occurrences.is_empty()
            && job.record.next_occurrence >= job.record.repetitions();
        if over {
            self.finish(task.job, JobState::Completed, now);
        }
    }

    fn task_failed(&mut self, task: TaskId, spec: &StepSpec, now: Now) {
        let run = self.task_record(task).map_or(0, |record| record.run);
        // Several members of a gang may fail in one run, which is one failed attempt.
        self.change_tasks(task, spec.gang, |record| {
            if record.failed_run < run {
                record.failed_run = run;
                record.failures += 1;
            }
        });
        self.task_waits(task, spec, now);
        let Some(job) = self.jobs.get(&task.job) else { return };
        let most = job.record.terms.max_attempts.max(1);
        let failures = self.task_record(task).map_or(0, |record| record.failures);
        if !spec.persistent && failures >= most {
            self.note(format!("decision=fail job={} task={task} failures={failures}", task.job));
            self.finish(task.job, JobState::Failed, now);
        }
    }

    fn task_waits(&mut self, task: TaskId, spec: &StepSpec, now: Now) {
        self.change_tasks(task, false, |record| record.phase = TaskPhase::Waiting);
        self.open.insert(task.job);
        if spec.gang {
            self.stop_step(task, now);
        }
    }

    /// Ends a job: stops what still runs of it.
    pub(super) fn finish(&mut self, id: JobId, state: JobState, now: Now) {
        let Some(job) = self.jobs.get_mut(&id) else { return };
        job.record.state = state;
        job.record.finished_ms = now.wall_ms;
        job.hints.clear();
        self.approvals.forget_job(id);
        self.open.remove(&id);
        self.note(format!("decision=finish job={id} state={state}"));
        for task in self.runs_of(id) {
            self.stop_run(task, now);
        }
        self.touch_final(id);
    }

    /// Writes a finished job again, without what it does not need once nothing of it runs.
    fn touch_final(&mut self, id: JobId) -> u64 {
        let runs = !self.runs_of(id).is_empty();
        if let Some(job) = self.jobs.get_mut(&id)
            && !runs
        {
            job.record.compact();
        }
        self.touch(id)
    }

    /// Marks the task of a finished job as not running.
    pub(super) fn forget_placement(&mut self, task: TaskId) {
        self.change_tasks(task, false, |record| record.phase = TaskPhase::Waiting);
    }

    /// Lets a task that has no run wait for another.
    pub(super) fn requeue(&mut self, task: TaskId, delay_ms: u64, avoid: bool, now: Now) {
        let place = self.runs.get(&task).map(|run| run.place.minion.clone());
        self.end_run(task, EndKind::Stopped, &Name::default(), now);
        if let Some(job) = self.jobs.get_mut(&task.job)
            && !job.record.state.is_final()
        {
            let hint = job.hints.entry(task).or_default();
            hint.not_before_ms = now.steady_ms + delay_ms;
            hint.avoid = place.filter(|_| avoid);
        }
    }

    fn keep_checkpoint(&mut self, task: TaskId, spec: &StepSpec, checkpoint: &Name) {
        let Some(job) = self.jobs.get_mut(&task.job) else { return };
        // Any member's checkpoint serves its gang, and all members must go on from the same one.
        let indices = if spec.gang { 0..spec.count } else { task.index..task.index + 1 };
        for index in indices {
            job.hints.entry(TaskId { index, ..task }).or_default().checkpoint = checkpoint.clone();
        }
    }

    /// Notes whether a minion fails what it is given.
    ///
    /// A minion that fails everything ends tasks faster than others, so it would draw ever more of
    /// them and use up their attempts. Jobs that always fail look alike from one run; failures of
    /// different jobs in a row do not.
    fn judge_minion(&mut self, minion: &Name, end: &EndedTask, now: Now) {
        let Some(view) = self.minions.get_mut(minion) else { return };
        match end.kind {
            EndKind::Done => {
                view.failures = 0;
                view.failed_job = None;
            }
            EndKind::Failed if view.failed_job != Some(end.task.job) => {
                view.failures += 1;
                view.failed_job = Some(end.task.job);
                if view.failures >= QUARANTINE_FAILURES {
                    view.shunned_ms = now.steady_ms + QUARANTINE_MS;
                    let failures = view.failures;
                    self.note(format!(
                        "decision=shun minion={minion} failures_in_a_row={failures} for_ms={QUARANTINE_MS}"
                    ));
                }
            }
            _ => {}
        }
    }

    /// Returns the record of a task.
    pub(super) fn task_record(&self, task: TaskId) -> Option<&TaskRecord> {
        let job = self.jobs.get(&task.job)?;
        let occurrence = job.record.occurrences.iter().find(|o| o.number == task.occurrence)?;
        occurrence.steps.get(usize::from(task.step))?.get(task.index as usize)
    }

    /// Returns the step of a task.
    pub(super) fn step_spec(&self, task: TaskId) -> Option<&StepSpec> {
        self.jobs.get(&task.job)?.record.spec.steps.get(usize::from(task.step))
    }

    /// Changes the record of a task, or of all tasks of its step.
    pub(super) fn change_tasks(
        &mut self,
        task: TaskId,
        all: bool,
        mut change: impl FnMut(&mut TaskRecord),
    ) {
        let Some(job) = self.jobs.get_mut(&task.job) else { return };
        let mut occurrences = job.record.occurrences.iter_mut();
        let Some(occurrence) = occurrences.find(|o| o.number == task.occurrence) else { return };
        let Some(tasks) = occurrence.steps.get_mut(usize::from(task.step)) else { return };
        if all {
            tasks.iter_mut().for_each(change);
        } else if let Some(record) = tasks.get_mut(task.index as usize) {
            change(record);
        }
    }

    /// Lists the runs of a job.
    pub(super) fn runs_of(&self, id: JobId) -> Vec<TaskId> {
        let first = TaskId { job: id, occurrence: 0, step: 0, index: 0 };
        let last = TaskId { job: id, occurrence: u32::MAX, step: u16::MAX, index: u32::MAX };
        self.runs.range(first..=last).map(|(task, _)| *task).collect()
    }

    /// Stops the other members of a gang, which cannot work without this one.
    fn stop_step(&mut self, task: TaskId, now: Now) {
        let Some(count) = self.step_spec(task).map(|step| step.count) else { return };
        for index in 0..count {
            self.stop_run(TaskId { index, ..task }, now);
        }
    }

    /// Enters a run, and what it occupies.
    pub(super) fn insert_run(&mut self, task: TaskId, run: Run) {
        let minion = self.minions.entry(run.place.minion.clone()).or_insert_with(|| {
            let info = crate::MinionInfo { id: run.place.minion.clone(), ..Default::default() };
            super::Minion::new(info, run.place.agent.clone())
        });
        minion.runs.insert(task);
        minion.used += run.occupied;
        minion.fill_cpus += run.fill_cpus;
        minion.serving += u32::from(run.serving_cpus.is_some());
        minion.serving_cpus += run.serving_cpus.unwrap_or(0);
        let id = run.place.minion.clone();
        self.runs.insert(task, run);
        self.count_images(task, &id, true);
    }

    /// Removes a run, and what it occupied.
    pub(super) fn remove_run(&mut self, task: TaskId) -> Option<Run> {
        let run = self.runs.remove(&task)?;
        self.count_images(task, &run.place.minion, false);
        if let Some(minion) = self.minions.get_mut(&run.place.minion) {
            minion.runs.remove(&task);
            minion.used -= run.occupied;
            minion.fill_cpus -= run.fill_cpus;
            minion.serving -= u32::from(run.serving_cpus.is_some());
            minion.serving_cpus -= run.serving_cpus.unwrap_or(0);
        }
        Some(run)
    }

    /// Orders a run to end; one whose start has not left yet simply never begins.
    pub(super) fn stop_run(&mut self, task: TaskId, now: Now) {
        let Some(run) = self.runs.get(&task) else { return };
        if run.stopping() {
            return;
        }
        if run.order == OrderState::Committing {
            self.remove_run(task);
            self.forget_placement(task);
            return;
        }
        self.send_stop(task, now);
    }
}
