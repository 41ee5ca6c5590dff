//! Learning of failure odds from the ends of runs, and what placements make of them.

use geraniumpost_schema::Name;

use super::Coordinator;
use super::minion::Minion;
use crate::{EndKind, EndedTask, Feature, Now, StepSpec, TaskId};

/// Time after which a failed run of a persistent task says nothing about its minion, in
/// milliseconds: such tasks never end as done, and a faulty minion fails them sooner.
const MAX_PERSISTENT_FAILURE_MS: u64 = 5_000;

/// How little is known in favor of a minion; smaller is better.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(super) enum MinionDoubt {
    /// Nothing speaks against the minion, as far as the task needs to know.
    None,
    /// No run has succeeded on the minion lately, and the task is at its last attempt.
    Unproven,
    /// Evidence against the minion remains; the task is at its last attempt, or another run already
    /// tries the minion after its quarantine.
    Evidence,
}

impl Coordinator {
    /// Returns how many quarantines of minions the learned odds led to since the start of this
    /// coordinator.
    pub const fn quarantine_count(&self) -> u64 {
        self.quarantine_count
    }

    /// Adds the end of a run to the evidence on its minion and to the odds of its class and job, and
    /// quarantines the minion if the evidence suffices.
    pub(super) fn weigh_end(&mut self, minion: &Name, end: &EndedTask, now: Now) {
        let failed = match end.kind {
            EndKind::Done => false,
            EndKind::Failed if !self.has_lasted(end.task, now) => true,
            _ => return,
        };
        let Some(class) = self.work_class(end.task) else { return };
        let Some(state) = self.minions.get_mut(minion) else { return };
        let odds = self.failure_odds.of_run(&class, end.task.job, now.steady_ms);
        let soundness = state.evidence.soundness(now.steady_ms);
        let quarantine = state.evidence.record_end(failed, odds, now.steady_ms);
        if let Some(quarantine) = quarantine {
            state.quarantined_until_ms = now.steady_ms + quarantine.duration_ms;
        }
        self.failure_odds.record_end(&class, end.task.job, failed, soundness, now.steady_ms);
        if let Some(quarantine) = quarantine {
            self.quarantine_count += 1;
            self.log(format!(
                "decision=quarantine minion={minion} log_odds={:.2} class={class} \
                 class_odds={odds:.3} count={} for_ms={}",
                quarantine.log_odds, quarantine.count, quarantine.duration_ms
            ));
        }
    }

    /// Returns the class of a task's work: its image, or its queue if it has no image. Returns
    /// `None` if the job is unknown or no longer has its specification.
    pub(super) fn work_class(&self, task: TaskId) -> Option<Name> {
        let image = &self.step_spec(task)?.image;
        if !image.is_empty() {
            return Some(image.clone());
        }
        self.jobs.get(&task.job).map(|job| job.record.terms.queue.clone())
    }

    /// Returns whether a persistent task's run has lasted so long that its failure says nothing
    /// about its minion.
    fn has_lasted(&self, task: TaskId, now: Now) -> bool {
        let persistent = self.step_spec(task).is_some_and(|step| step.persistent);
        let started_ms = self.runs.get(&task).and_then(|run| run.started_ms);
        persistent
            && started_ms.is_some_and(|at_ms| now.steady_ms > at_ms + MAX_PERSISTENT_FAILURE_MS)
    }

    /// Returns whether one more failure of a task fails its job. Persistent tasks have no last
    /// attempt.
    pub(super) fn is_last_attempt(&self, task: TaskId, spec: &StepSpec) -> bool {
        if spec.persistent || !self.features.contains(Feature::Stragglers) {
            return false;
        }
        let max_attempts = self.jobs.get(&task.job).map_or(0, |job| job.record.terms.max_attempts);
        let failures = self.task_record(task).map_or(0, |record| record.failures);
        failures + 1 >= max_attempts.max(1)
    }

    /// Returns how doubtful it is that a run succeeds on a minion.
    ///
    /// A task's last attempt goes to a minion that is known to work, as long as one accepts it. A
    /// minion that was quarantined is empty and would attract many tasks at its release; it is
    /// therefore tried with one run, and gets others only if nothing else accepts them.
    pub(super) fn minion_doubt(
        &self,
        minion: &Minion,
        is_last_attempt: bool,
        now: Now,
    ) -> MinionDoubt {
        if !self.features.contains(Feature::Stragglers) {
            return MinionDoubt::None;
        }
        let evidence = &minion.evidence;
        let is_tried = !minion.runs.is_empty() && evidence.is_on_probation(now.steady_ms);
        if is_tried || (is_last_attempt && evidence.is_doubtful(now.steady_ms)) {
            MinionDoubt::Evidence
        } else if is_last_attempt && !evidence.is_proven(now.steady_ms) {
            MinionDoubt::Unproven
        } else {
            MinionDoubt::None
        }
    }
}
