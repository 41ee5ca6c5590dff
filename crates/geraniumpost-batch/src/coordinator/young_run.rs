use geraniumpost_schema::Name;

use super::Coordinator;
use super::log_fields::field_unless_zero;
use super::run::{OrderState, Run};
use crate::{Now, TaskId};

/// Time for which a run must be known to have worked so that it is not suspected of having crashed
/// its minion, in milliseconds. A run that crashes its minion does so soon after its start.
const MIN_KNOWN_WORK_MS: u64 = 5_000;
/// Time for which a run must be known to have worked so that a crash does not count as one at its
/// start, in milliseconds: longer than the interval between two polls.
const MIN_WORK_AFTER_START_MS: u64 = 1_000;
/// Maximum number of runs that the log line on a terminated minion names.
const MAX_LOGGED_RUNS: usize = 8;

/// A run that may have started, and that is not known to have worked for [`MIN_KNOWN_WORK_MS`].
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) struct YoungRun {
    pub(super) task: TaskId,
    pub(super) number: u32,
    /// Whether the run is not known to have worked for [`MIN_WORK_AFTER_START_MS`].
    pub(super) is_at_start: bool,
    /// Time since the run was first known to have started, in milliseconds; `None` if its start is
    /// not known.
    since_start_ms: Option<u64>,
    /// How strongly the task was suspected of a crash that ended the run, when the run ended.
    pub(super) suspicion: usize,
}

impl YoungRun {
    /// Returns whether the minion is known to have started the run.
    pub(super) const fn is_known_to_have_started(&self) -> bool {
        self.since_start_ms.is_some()
    }
}

impl Run {
    /// Returns whether polls show that the run has worked for [`MIN_KNOWN_WORK_MS`].
    pub(super) fn is_known_to_work(&self) -> bool {
        self.known_work_ms() >= MIN_KNOWN_WORK_MS
    }

    /// Returns whether polls do not show yet that the run has worked for
    /// [`MIN_WORK_AFTER_START_MS`].
    pub(super) fn is_at_start(&self) -> bool {
        self.known_work_ms() < MIN_WORK_AFTER_START_MS
    }

    /// Returns for how long polls show that the run has worked, in milliseconds; 0 if they show no
    /// progress, because the run may be suspended.
    fn known_work_ms(&self) -> u64 {
        if self.progress_percent == 0 {
            return 0;
        }
        self.started_ms.map_or(0, |at_ms| self.last_seen_ms.saturating_sub(at_ms))
    }
}

impl Coordinator {
    /// Returns the young runs on a minion, those with the latest start first.
    pub(super) fn young_runs(&self, minion: &Name, now: Now) -> Vec<YoungRun> {
        let Some(minion) = self.minions.get(minion) else { return Vec::new() };
        let runs = minion.runs.iter().filter_map(|task| Some((task, self.runs.get(task)?)));
        let is_young = |run: &Run| run.order != OrderState::Committing && !run.is_known_to_work();
        let mut young: Vec<YoungRun> = runs
            .filter(|(_, run)| is_young(run))
            .map(|(task, run)| YoungRun {
                task: *task,
                number: run.number,
                is_at_start: run.is_at_start(),
                since_start_ms: run.started_ms.map(|at_ms| now.steady_ms.saturating_sub(at_ms)),
                suspicion: self.suspicion(*task, run.is_at_start()),
            })
            .collect();
        young.sort_by_key(|run| run.since_start_ms);
        young
    }

    /// Logs the young runs of a minion that has terminated without an announcement.
    pub(super) fn log_young_runs(&mut self, minion: &Name, young: &[YoungRun]) {
        if young.is_empty() {
            return;
        }
        let named = young.iter().take(MAX_LOGGED_RUNS).map(|run| {
            let since_start = run.since_start_ms.map_or("unknown".into(), |ms| ms.to_string());
            format!("{}/{}:{since_start}", run.task, run.number)
        });
        let named = named.collect::<Vec<_>>().join(",");
        let omitted = young.len().saturating_sub(MAX_LOGGED_RUNS) as u64;
        self.log(format!(
            "minion={minion} event=young_runs_lost young={} since_start_ms={named}{}",
            young.len(),
            field_unless_zero("omitted", omitted)
        ));
    }
}
