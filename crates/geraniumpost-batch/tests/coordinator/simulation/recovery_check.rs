//! Check of the guarantees that no task runs twice at once or is down for too long.

use std::collections::BTreeMap;

use geraniumpost_batch::{JobRecord, TaskId, TaskRecord};
use geraniumpost_schema::Name;

use super::workload::{CHECKED_TASK_MILLI_CPUS, is_checked};
use super::{Report, STEP_MS, Simulation};

/// Maximum time from the end of a run until the task is running again, in milliseconds.
const RECOVERY_LIMIT_MS: u64 = 9_000;
/// Maximum time from the end of the last fault until all tasks are running again, in milliseconds.
/// A task may be down until the later of the two limits.
const RECOVERY_LIMIT_AFTER_FAULT_MS: u64 = 7_000;

/// State that the check keeps between simulation steps. Times are on the monotonic clock.
#[derive(Debug, Default)]
pub(super) struct RecoveryChecker {
    /// Start and end of each fault, in milliseconds.
    faults: Vec<(u64, u64)>,
    /// Index of the machine on which each task ran last.
    last_machine: BTreeMap<TaskId, usize>,
    /// Start of the downtime of each checked task that is down, in milliseconds.
    down_since: BTreeMap<TaskId, u64>,
    /// Time since which some machine has had capacity for one more task, or `None` if none has.
    capacity_since_ms: Option<u64>,
    /// Number of the coordinator's log lines that are already in the trace.
    traced_lines: usize,
    report: Report,
}

impl RecoveryChecker {
    pub(super) fn trace(&mut self, line: String) {
        self.report.trace.push(line);
    }

    pub(super) fn add_fault(&mut self, start_ms: u64, end_ms: u64) {
        self.faults.push((start_ms, end_ms));
    }

    pub(super) fn last_machine(&self, task: TaskId) -> Option<usize> {
        self.last_machine.get(&task).copied()
    }

    pub(super) fn is_every_task_running(&self) -> bool {
        self.down_since.is_empty()
    }

    /// Records that `task` is down at `now_ms`, and reports it if this violates the guarantee. A
    /// task that cannot be placed for lack of capacity is not reported.
    fn record_downtime(&mut self, task: TaskId, now_ms: u64) {
        let since_ms = *self.down_since.entry(task).or_insert(now_ms);
        let Some(capacity_since_ms) = self.capacity_since_ms else { return };
        let recovery_deadline_ms =
            self.recovery_deadline_ms(since_ms.max(capacity_since_ms), now_ms);
        if now_ms > recovery_deadline_ms {
            self.report.record_overdue(now_ms - recovery_deadline_ms, task, now_ms - since_ms);
        }
    }

    /// Returns the latest time by which a task must run again if it could have been placed ever
    /// since it went down at `since_ms`.
    fn recovery_deadline_ms(&self, since_ms: u64, now_ms: u64) -> u64 {
        let started = self.faults.iter().filter(|(start_ms, _)| *start_ms <= now_ms);
        let recovered_by_ms =
            started.map(|(_, end_ms)| end_ms + RECOVERY_LIMIT_AFTER_FAULT_MS).max().unwrap_or(0);
        (since_ms + RECOVERY_LIMIT_MS).max(recovered_by_ms) + STEP_MS
    }
}

impl Simulation {
    /// Reports tasks that run twice at once, and checked tasks that are down for longer than
    /// guaranteed.
    pub(super) fn check_guarantees(&mut self) {
        self.trace_log_lines();
        let running = self.find_running();
        self.update_capacity_since();
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

    /// Completes and returns the report at the end of the simulation.
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

    /// Returns the minion of each running task, and reports tasks that run on two minions.
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

    /// Starts or ends the period in which some machine has capacity for one more task.
    fn update_capacity_since(&mut self) {
        let since_ms = self.checker.capacity_since_ms.unwrap_or(self.cluster.now.steady_ms);
        self.checker.capacity_since_ms = self.has_capacity().then_some(since_ms);
    }

    /// Returns whether any machine has capacity for one more task, a minion that does not drain,
    /// and an agent that could open a link.
    fn has_capacity(&self) -> bool {
        (0..self.machines.len()).any(|at| {
            let machine = &self.machines[at];
            let accepts_tasks = machine.minion.as_ref().is_some_and(|minion| !minion.draining);
            accepts_tasks
                && self.can_link(at)
                && self.used_milli_cpus(at) + CHECKED_TASK_MILLI_CPUS <= machine.milli_cpus
        })
    }

    /// Returns whether, in some stored step, a task that was never placed has a lower index than a
    /// task that was placed.
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
