//! Ends of runs, and their effect on tasks and jobs.

use geraniumpost_schema::Name;

use super::Coordinator;
use super::run::{OrderState, Run};
use crate::tuning::{FAILURE_BACKOFF_MS, QUARANTINE_DURATION_MS, QUARANTINE_FAILURES};
use crate::{
    EndKind, EndedTask, Feature, JobId, JobState, Now, StepSpec, TaskId, TaskPhase, TaskRecord,
};

impl Coordinator {
    /// Handles the end of a run that a minion lists. An end that was handled before has no effect,
    /// except that an acknowledged end is acknowledged again.
    pub(super) fn handle_run_end(&mut self, minion: &Name, end: EndedTask, now: Now) {
        let Some(state) = self.minions.get_mut(minion) else { return };
        if end.sequence <= state.last_end_sequence {
            state.resend_acknowledgement |= end.sequence <= state.acknowledged_up_to;
            return;
        }
        state.last_end_sequence = end.sequence;
        let is_current = self
            .runs
            .get(&end.task)
            .is_some_and(|run| run.number == end.run && run.place.minion == *minion);
        let change = if is_current {
            self.log(format!(
                "decision=end job={} task={} run={} minion={minion} end={}",
                end.task.job, end.task, end.run, end.kind
            ));
            self.track_failures(minion, &end, now);
            self.clear_at_end(&end);
            let version = self.end_run(end.task, end.kind, &end.checkpoint, now);
            Some((end.task.job, version))
        } else {
            self.handle_copy_end(minion, &end, now)
        };
        if let Some(state) = self.minions.get_mut(minion) {
            state.unacknowledged.push_back((end.sequence, change));
        }
    }

    /// Ends a run: releases its resources, and requeues or completes its task or fails its job.
    /// Returns the version of the record that contains this change, or 0 if the job is unknown.
    pub(super) fn end_run(
        &mut self,
        task: TaskId,
        kind: EndKind,
        checkpoint: &Name,
        now: Now,
    ) -> u64 {
        let version = self.end_current_run(task, kind, checkpoint, now);
        self.settle_copy(task, now);
        version
    }

    fn end_current_run(&mut self, task: TaskId, kind: EndKind, checkpoint: &Name, now: Now) -> u64 {
        let run = self.remove_run(task);
        self.keep_late_start(task, run.as_ref(), now);
        if kind == EndKind::Done && self.features.contains(Feature::Stragglers) {
            self.record_duration(task, run.as_ref(), now);
        }
        self.record_persistent_run_end(task, run.as_ref(), now);
        self.placement_due = true;
        let Some(job) = self.jobs.get_mut(&task.job) else { return 0 };
        if job.record.state.is_final() {
            self.clear_placement(task);
            return self.mark_finished_record_dirty(task.job);
        }
        let spec = job.record.spec.steps[usize::from(task.step)].clone();
        if self.is_done_by_copy(task) {
            return self.mark_dirty(task.job);
        }
        if !checkpoint.is_empty() && spec.checkpoints {
            self.record_checkpoint(task, &spec, checkpoint);
        }
        let failed = matches!(kind, EndKind::Failed | EndKind::LeaseExpired);
        let avoided = run.filter(|_| failed).map(|run| run.place.minion);
        if let Some(job) = self.jobs.get_mut(&task.job) {
            let next = job.next_placements.entry(task).or_default();
            next.not_before_ms = now.steady_ms + if failed { FAILURE_BACKOFF_MS } else { 0 };
            next.avoided_minion = avoided;
        }
        match kind {
            EndKind::Done if !spec.persistent => self.complete_task(task, &spec, now),
            EndKind::Failed => self.fail_task(task, &spec, now),
            _ => self.mark_waiting(task, &spec, now),
        }
        self.mark_dirty(task.job)
    }

    pub(super) fn complete_task(&mut self, task: TaskId, spec: &StepSpec, now: Now) {
        let all = spec.gang;
        self.update_tasks(task, all, |record| record.phase = TaskPhase::Done);
        let Some(job) = self.jobs.get_mut(&task.job) else { return };
        job.next_placements.remove(&task);
        job.record.occurrences.retain(|occurrence| !occurrence.is_done());
        let finished = job.record.occurrences.is_empty()
            && job.record.next_occurrence >= job.record.occurrence_count();
        if finished {
            self.finish_job(task.job, JobState::Completed, now);
        }
    }

    fn fail_task(&mut self, task: TaskId, spec: &StepSpec, now: Now) {
        let run = self.task_record(task).map_or(0, |record| record.run);
        // Several members of a gang may fail in the same run, which counts as one failure.
        self.update_tasks(task, spec.gang, |record| {
            if !spec.gang || record.failed_run < run {
                record.failed_run = record.failed_run.max(run);
                record.failures += 1;
            }
        });
        self.mark_waiting(task, spec, now);
        if !spec.persistent {
            self.fail_job_after_last_attempt(task, now);
        }
    }

    /// Fails a job if a task of it has failed as often as it may.
    pub(super) fn fail_job_after_last_attempt(&mut self, task: TaskId, now: Now) {
        let Some(job) = self.jobs.get(&task.job) else { return };
        let max_attempts = job.record.terms.max_attempts.max(1);
        let failures = self.task_record(task).map_or(0, |record| record.failures);
        if failures >= max_attempts {
            self.log(format!("decision=fail job={} task={task} failures={failures}", task.job));
            self.finish_job(task.job, JobState::Failed, now);
        }
    }

    /// Marks a task as waiting. If the step is a gang, also stops the runs of all its members.
    fn mark_waiting(&mut self, task: TaskId, spec: &StepSpec, now: Now) {
        self.update_tasks(task, false, |record| record.phase = TaskPhase::Waiting);
        self.open_jobs.insert(task.job);
        if spec.gang {
            self.stop_gang(task, now);
        }
    }

    /// Finishes a job and stops its remaining runs.
    pub(super) fn finish_job(&mut self, id: JobId, state: JobState, now: Now) {
        let Some(job) = self.jobs.get_mut(&id) else { return };
        job.record.state = state;
        job.record.finished_ms = now.wall_ms;
        job.next_placements.clear();
        self.approvals.remove_job(id);
        self.open_jobs.remove(&id);
        self.log(format!("decision=finish job={id} state={state}"));
        for task in self.tasks_with_runs(id) {
            self.stop_run(task, now);
        }
        self.stop_copies_of_job(id, now);
        self.mark_finished_record_dirty(id);
    }

    /// Compacts the record of a finished job if the job has no runs left, and marks it as changed.
    /// Returns the record's new version.
    fn mark_finished_record_dirty(&mut self, id: JobId) -> u64 {
        let has_runs = !self.tasks_with_runs(id).is_empty();
        if let Some(job) = self.jobs.get_mut(&id)
            && !has_runs
        {
            job.record.compact();
        }
        self.mark_dirty(id)
    }

    /// Marks a task as waiting, which removes the minion from the task's record.
    pub(super) fn clear_placement(&mut self, task: TaskId) {
        self.update_tasks(task, false, |record| record.phase = TaskPhase::Waiting);
    }

    /// Ends a run that does not exist on its minion, and lets its task wait for the next run. With
    /// `avoid`, the next run is placed on the same minion only if no other minion accepts the task.
    pub(super) fn requeue(&mut self, task: TaskId, delay_ms: u64, avoid: bool, now: Now) {
        let minion = self.runs.get(&task).map(|run| run.place.minion.clone());
        self.end_run(task, EndKind::Stopped, &Name::default(), now);
        if let Some(job) = self.jobs.get_mut(&task.job)
            && !job.record.state.is_final()
        {
            let next = job.next_placements.entry(task).or_default();
            next.not_before_ms = now.steady_ms + delay_ms;
            next.avoided_minion = minion.filter(|_| avoid);
        }
    }

    fn record_checkpoint(&mut self, task: TaskId, spec: &StepSpec, checkpoint: &Name) {
        let Some(job) = self.jobs.get_mut(&task.job) else { return };
        // A checkpoint of any member applies to the whole gang, whose members must all resume from
        // the same checkpoint.
        let indices = if spec.gang { 0..spec.count } else { task.index..task.index + 1 };
        for index in indices {
            job.next_placements.entry(TaskId { index, ..task }).or_default().checkpoint =
                checkpoint.clone();
        }
    }

    /// Counts consecutive failures on a minion, and quarantines the minion if there are too many.
    ///
    /// A minion that fails every run frees up faster than others, so it would attract ever more
    /// tasks and use up their attempts. A single failed run does not show whether the minion or the
    /// job is at fault, but consecutive failures of different jobs point to the minion.
    ///
    /// With [`Feature::Stragglers`], learned odds take the place of the count.
    pub(super) fn track_failures(&mut self, minion: &Name, end: &EndedTask, now: Now) {
        if self.features.contains(Feature::Stragglers) {
            return self.weigh_end(minion, end, now);
        }
        let Some(state) = self.minions.get_mut(minion) else { return };
        match end.kind {
            EndKind::Done => {
                state.consecutive_failures = 0;
                state.last_failed_job = None;
            }
            EndKind::Failed if state.last_failed_job != Some(end.task.job) => {
                state.consecutive_failures += 1;
                state.last_failed_job = Some(end.task.job);
                if state.consecutive_failures >= QUARANTINE_FAILURES {
                    state.quarantined_until_ms = now.steady_ms + QUARANTINE_DURATION_MS;
                    let failures = state.consecutive_failures;
                    self.log(format!(
                        "decision=quarantine minion={minion} consecutive_failures={failures} \
                         for_ms={QUARANTINE_DURATION_MS}"
                    ));
                }
            }
            _ => {}
        }
    }

    /// Clears a task whose run is done, and so has not crashed its minion. A failed run clears
    /// nothing, because some minions fail all that they start.
    fn clear_at_end(&mut self, end: &EndedTask) {
        if end.kind == EndKind::Done {
            self.clear_crashes(end.task, "done");
        }
    }

    pub(super) fn task_record(&self, task: TaskId) -> Option<&TaskRecord> {
        let job = self.jobs.get(&task.job)?;
        let occurrence = job.record.occurrences.iter().find(|o| o.number == task.occurrence)?;
        occurrence.steps.get(usize::from(task.step))?.get(task.index as usize)
    }

    pub(super) fn step_spec(&self, task: TaskId) -> Option<&StepSpec> {
        self.jobs.get(&task.job)?.record.spec.steps.get(usize::from(task.step))
    }

    /// Updates the record of a task, or of all tasks of its step.
    pub(super) fn update_tasks(
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

    pub(super) fn tasks_with_runs(&self, id: JobId) -> Vec<TaskId> {
        let first = TaskId { job: id, occurrence: 0, step: 0, index: 0 };
        let last = TaskId { job: id, occurrence: u32::MAX, step: u16::MAX, index: u32::MAX };
        self.runs.range(first..=last).map(|(task, _)| *task).collect()
    }

    /// Stops all runs of a gang, because its members cannot work without each other.
    fn stop_gang(&mut self, task: TaskId, now: Now) {
        let Some(count) = self.step_spec(task).map(|step| step.count) else { return };
        for index in 0..count {
            self.stop_run(TaskId { index, ..task }, now);
        }
    }

    /// Inserts a run and reserves its resources.
    pub(super) fn insert_run(&mut self, task: TaskId, run: Run) {
        let minion = self.minions.entry(run.place.minion.clone()).or_insert_with(|| {
            let info = crate::MinionInfo { id: run.place.minion.clone(), ..Default::default() };
            super::Minion::new(info, run.place.agent.clone())
        });
        minion.runs.insert(task);
        minion.reserved += run.reserved;
        minion.best_effort_milli_cpus += run.best_effort_milli_cpus;
        minion.serving_milli_cpus += run.serving_milli_cpus.unwrap_or(0);
        let id = run.place.minion.clone();
        self.runs.insert(task, run);
        self.update_run_counts(task, &id, true);
    }

    /// Removes a run and releases its resources.
    pub(super) fn remove_run(&mut self, task: TaskId) -> Option<Run> {
        let run = self.runs.remove(&task)?;
        self.update_run_counts(task, &run.place.minion, false);
        if let Some(minion) = self.minions.get_mut(&run.place.minion) {
            minion.runs.remove(&task);
            minion.reserved -= run.reserved;
            minion.best_effort_milli_cpus -= run.best_effort_milli_cpus;
            minion.serving_milli_cpus -= run.serving_milli_cpus.unwrap_or(0);
        }
        Some(run)
    }

    /// Stops a run. If its start order was not sent yet, the run is removed instead.
    pub(super) fn stop_run(&mut self, task: TaskId, now: Now) {
        let Some(run) = self.runs.get(&task) else { return };
        if run.is_stopping() {
            return;
        }
        if run.order == OrderState::Committing {
            self.remove_run(task);
            self.clear_placement(task);
            return;
        }
        self.send_stop(task, now);
    }
}
