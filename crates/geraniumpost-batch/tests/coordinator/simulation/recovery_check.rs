//! Check of the guarantees: no task runs twice at once, and none is down for too long.

use std::collections::BTreeMap;

use geraniumpost_batch::{JobRecord, TaskId, TaskRecord};
use geraniumpost_schema::Name;

use super::workload::{TASK_MILLI_CPUS, is_checked};
use super::{Report, STEP_MS, Simulation};

/// Guaranteed time until a task whose run ended is running again, in milliseconds.
const RECOVERY_LIMIT_MS: u64 = 9_000;
/// The same, counted from the end of the last disturbance.
const RECOVERY_AFTER_DISTURBANCE_MS: u64 = 7_000;

/// State of the check between steps.
#[derive(Debug, Default)]
pub(super) struct RecoveryChecker {
    /// Beginning and end of each disturbance.
    disturbances: Vec<(u64, u64)>,
    /// The machine where each task ran last.
    last_machine: BTreeMap<TaskId, usize>,
    /// Since when each task is down.
    down_since: BTreeMap<TaskId, u64>,
    /// Since when there has been capacity for one more task.
    capacity_since_ms: Option<u64>,
    /// Number of the coordinator's log lines that are in the trace.
    traced_lines: usize,
    report: Report,
}

impl RecoveryChecker {
    pub(super) fn trace(&mut self, line: String) {
        self.report.trace.push(line);
    }

    pub(super) fn add_disturbance(&mut self, start_ms: u64, end_ms: u64) {
        self.disturbances.push((start_ms, end_ms));
    }

    pub(super) fn last_machine(&self, task: TaskId) -> Option<usize> {
        self.last_machine.get(&task).copied()
    }

    pub(super) fn all_running(&self) -> bool {
        self.down_since.is_empty()
    }

    /// Records that a task is down at a time.
    fn record_downtime(&mut self, task: TaskId, now_ms: u64) {
        let since_ms = *self.down_since.entry(task).or_insert(now_ms);
        let Some(capacity_since_ms) = self.capacity_since_ms else { return };
        let limit_ms = self.limit_ms(since_ms.max(capacity_since_ms), now_ms);
        if now_ms > limit_ms {
            self.report.record_overdue(now_ms - limit_ms, task, now_ms - since_ms);
        }
    }

    /// Returns the time until which a task may be down that could have been placed since
    /// `since_ms`.
    fn limit_ms(&self, since_ms: u64, now_ms: u64) -> u64 {
        let started = self.disturbances.iter().filter(|(start_ms, _)| *start_ms <= now_ms);
        let recovered_by_ms =
            started.map(|(_, end_ms)| end_ms + RECOVERY_AFTER_DISTURBANCE_MS).max().unwrap_or(0);
        (since_ms + RECOVERY_LIMIT_MS).max(recovered_by_ms) + STEP_MS
    }
}

impl Simulation {
    /// Checks that no task runs twice at once, and for how long each is down.
    pub(super) fn check_guarantees(&mut self) {
        self.trace_log_lines();
        let running = self.find_running();
        self.update_capacity();
        let now_ms = self.cluster.now.steady_ms;
        let checked = self.checker.last_machine.keys().copied().filter(|task| is_checked(*task));
        for task in checked.collect::<Vec<_>>() {
            if !running.contains_key(&task) {
                self.checker.record_downtime(task, now_ms);
            } else if let Some(since_ms) = self.checker.down_since.remove(&task) {
                self.trace(&format!(
                    "{task} is running again after being down for {} ms",
                    now_ms - since_ms
                ));
            }
        }
    }

    /// Returns the report at the end of the simulation.
    pub(super) fn into_report(self) -> Report {
        let has_placement_gap = self.has_placement_gap();
        Report { has_placement_gap, ..self.checker.report }
    }

    /// Adds the coordinator's new log lines to the trace.
    fn trace_log_lines(&mut self) {
        for at in self.checker.traced_lines..self.cluster.log_lines.len() {
            let line = self.cluster.log_lines[at].clone();
            self.trace(&line);
        }
        self.checker.traced_lines = self.cluster.log_lines.len();
    }

    /// Returns the minion of each running task, and reports tasks that run on two.
    fn find_running(&mut self) -> BTreeMap<TaskId, Name> {
        let mut running: BTreeMap<TaskId, Name> = BTreeMap::new();
        for (task, minion, run) in self.cluster.running_tasks() {
            if let Some(at) = self.machine_of(&minion) {
                self.checker.last_machine.insert(task, at);
            }
            if let Some(other) = running.insert(task, minion.clone()) {
                let line = format!("{task} runs on {minion} as run {run} and on {other}");
                self.trace(&line);
                self.checker.report.duplicate_run.get_or_insert(line);
            }
        }
        running
    }

    /// Updates since when there has been capacity: without it no task can be placed.
    fn update_capacity(&mut self) {
        let since_ms = self.checker.capacity_since_ms.unwrap_or(self.cluster.now.steady_ms);
        self.checker.capacity_since_ms = self.has_capacity().then_some(since_ms);
    }

    /// Returns whether a machine that can be linked has capacity for one more task.
    fn has_capacity(&self) -> bool {
        (0..self.machines.len()).any(|at| {
            let machine = &self.machines[at];
            let accepts_tasks = machine.minion.as_ref().is_some_and(|minion| !minion.draining);
            accepts_tasks
                && self.can_link(at)
                && self.used_milli_cpus(at) + TASK_MILLI_CPUS <= machine.milli_cpus
        })
    }

    /// Returns whether the store holds a step in which a task that was never placed precedes one
    /// that was.
    fn has_placement_gap(&self) -> bool {
        self.cluster.store.values().any(|record| {
            let record = JobRecord::decode(record).expect("the stored record is valid");
            let steps = record.occurrences.iter().flat_map(|occurrence| &occurrence.steps);
            steps.into_iter().any(|tasks| {
                let placed = |task: &TaskRecord| task.run > 0;
                tasks.iter().rposition(placed) > tasks.iter().position(|t| !placed(t))
                    && !tasks.iter().all(placed)
            })
        })
    }
}
