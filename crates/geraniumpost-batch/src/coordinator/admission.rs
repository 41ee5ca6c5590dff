//! Refusal of submissions that cannot be stored now.
//!
//! See docs/design/0702-admission.md.

use super::commits::DeferredAction;
use super::job::Job;
use super::run::OrderState;
use super::{Coordinator, Effect};
use crate::tuning::RETRY_AFTER_MS;
use crate::{CallerResponse, Feature, JobId, Now};

/// What the coordinator has refused in this term because the store does not commit, for metrics.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct AdmissionStatus {
    /// Whether new jobs are refused now because the store does not commit.
    pub store_not_committing: bool,
    /// Number of submissions that were refused at once.
    pub not_stored: u64,
    /// Number of jobs that were accepted into memory, and withdrawn before any attempt to store
    /// them.
    pub withdrawn: u64,
}

impl Coordinator {
    /// Returns what was refused because the store does not commit.
    pub const fn admission_status(&self) -> AdmissionStatus {
        self.admission_status
    }

    /// Returns whether new jobs are refused now because the store does not commit.
    pub(super) const fn is_store_not_committing(&self) -> bool {
        self.features.contains(Feature::Admission) && !self.commit_health.is_committing()
    }

    /// Judges whether the store commits. While it does not, withdraws jobs that have certainly not
    /// reached it.
    pub(super) fn update_admission(&mut self, now: Now) {
        let oldest_ms = self.batches.values().map(|batch| batch.gathered_ms).min();
        if self.commit_health.update(oldest_ms, now.steady_ms) {
            let outstanding_ms = oldest_ms.map_or(0, |since| now.steady_ms.saturating_sub(since));
            let (batches, dirty) = (self.batches.len(), self.dirty.len());
            self.log(format!(
                "event=store_not_committing outstanding_ms={outstanding_ms} batches={batches} \
                 dirty={dirty}"
            ));
        }
        self.admission_status.store_not_committing = self.is_store_not_committing();
        if self.is_store_not_committing() {
            self.withdraw_unstored_jobs();
        }
    }

    /// Records that the store has committed a batch, so that new jobs are accepted again.
    pub(super) fn record_commit(&mut self, now: Now) {
        let recovered = self.commit_health.record_commit(now.steady_ms);
        if let Some(for_ms) = recovered.filter(|_| self.features.contains(Feature::Admission)) {
            let AdmissionStatus { not_stored, withdrawn, .. } = self.admission_status;
            self.log(format!(
                "event=store_committing not_committing_ms={for_ms} refused_in_term={not_stored} \
                 withdrawn_in_term={withdrawn}"
            ));
        }
    }

    /// Refuses a submission because its record could not be stored now.
    pub(super) fn refuse_unstorable(&mut self, request_id: u64, id: JobId) {
        self.admission_status.not_stored += 1;
        self.log(format!("decision=refuse job={id} why=\"store does not commit\""));
        self.respond(request_id, CallerResponse::Refused { retry_after_ms: RETRY_AFTER_MS });
    }

    fn withdraw_unstored_jobs(&mut self) {
        let is_unstored =
            |id: &&JobId| self.jobs.get(id).is_some_and(Job::has_certainly_no_stored_record);
        for id in self.open_jobs.iter().filter(is_unstored).copied().collect::<Vec<_>>() {
            self.withdraw(id);
        }
    }

    /// Removes a job whose record has certainly not reached the store, and refuses all copies of
    /// its submission.
    ///
    /// Nothing of the job has started, because starts wait for the commit. A cancelled job is not
    /// open and stays: the response to its cancellation says that it does not run, so that a late
    /// copy of its submission must find it.
    fn withdraw(&mut self, id: JobId) {
        let tasks = self.tasks_with_runs(id);
        let is_unsent = |run: &super::Run| run.order == OrderState::Committing;
        if !tasks.iter().all(|task| self.runs.get(task).is_some_and(is_unsent)) {
            return;
        }
        for task in tasks {
            self.remove_run(task);
        }
        self.open_jobs.remove(&id);
        self.dirty.remove(&id);
        self.approvals.remove_job(id);
        self.forget_crashes_of_job(id);
        let Some(job) = self.jobs.remove(&id) else { return };
        self.admission_status.withdrawn += 1;
        self.placement_due = true;
        self.log(format!("decision=withdraw job={id} why=\"store does not commit\""));
        for action in job.after_commit {
            if let DeferredAction::Respond(request_id, _) = action {
                let response = CallerResponse::Refused { retry_after_ms: RETRY_AFTER_MS };
                self.effects.push(Effect::Respond { request_id, response });
            }
        }
    }
}
