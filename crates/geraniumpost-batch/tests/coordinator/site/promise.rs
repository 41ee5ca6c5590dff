//! The check of what is promised: no task runs twice, and none is down for too long.

use std::collections::BTreeMap;

use geraniumpost_batch::{JobRecord, TaskId, TaskRecord};
use geraniumpost_schema::Name;

use super::tasks::{MILLI_CPUS, is_watched};
use super::{Report, STEP_MS, Site};

/// What is promised: a task whose run ended is at work again after so long, at most, in milliseconds.
const AT_WORK_MS: u64 = 9_000;
/// The same, counted from the end of the last disturbance.
const AFTER_TROUBLE_MS: u64 = 7_000;

/// What the check keeps in mind from step to step.
#[derive(Debug, Default)]
pub(super) struct Watch {
    /// When each disturbance begins and ends.
    troubles: Vec<(u64, u64)>,
    /// The machine where each task ran last.
    last_place: BTreeMap<TaskId, usize>,
    /// Since when each task is down.
    down: BTreeMap<TaskId, u64>,
    /// Since when there has been room for one more task.
    room_ms: Option<u64>,
    /// Notes of the coordinator that are in the trace.
    noted: usize,
    report: Report,
}

impl Watch {
    pub(super) fn trace(&mut self, line: String) {
        self.report.trace.push(line);
    }

    pub(super) fn expect_trouble(&mut self, begin_ms: u64, end_ms: u64) {
        self.troubles.push((begin_ms, end_ms));
    }

    pub(super) fn last_place(&self, task: TaskId) -> Option<usize> {
        self.last_place.get(&task).copied()
    }

    pub(super) fn all_at_work(&self) -> bool {
        self.down.is_empty()
    }

    /// Takes note that a task is down at a time.
    fn note_down(&mut self, task: TaskId, now_ms: u64) {
        let since_ms = *self.down.entry(task).or_insert(now_ms);
        let Some(room_ms) = self.room_ms else { return };
        let limit_ms = self.limit_ms(since_ms.max(room_ms), now_ms);
        if now_ms > limit_ms {
            self.report.note_late(now_ms - limit_ms, task, now_ms - since_ms);
        }
    }

    /// Returns until when a task may be down that could have been placed since `since_ms`.
    fn limit_ms(&self, since_ms: u64, now_ms: u64) -> u64 {
        let begun = self.troubles.iter().filter(|(begin_ms, _)| *begin_ms <= now_ms);
        let calm_ms = begun.map(|(_, end_ms)| end_ms + AFTER_TROUBLE_MS).max().unwrap_or(0);
        (since_ms + AT_WORK_MS).max(calm_ms) + STEP_MS
    }
}

impl Site {
    /// Checks that no task runs twice, and for how long each is down.
    pub(super) fn check(&mut self) {
        self.trace_notes();
        let at_work = self.find_at_work();
        self.watch_room();
        let now_ms = self.world.now.steady_ms;
        let watched = self.watch.last_place.keys().copied().filter(|task| is_watched(*task));
        for task in watched.collect::<Vec<_>>() {
            if !at_work.contains_key(&task) {
                self.watch.note_down(task, now_ms);
            } else if let Some(since_ms) = self.watch.down.remove(&task) {
                self.trace(&format!("{task} at work, down for {} ms", now_ms - since_ms));
            }
        }
    }

    /// Returns what the day has shown.
    pub(super) fn into_report(self) -> Report {
        let skips_some = self.skips_some();
        Report { skips_some, ..self.watch.report }
    }

    /// Enters what the coordinator has noted since the last step.
    fn trace_notes(&mut self) {
        for at in self.watch.noted..self.world.notes.len() {
            let line = self.world.notes[at].clone();
            self.trace(&line);
        }
        self.watch.noted = self.world.notes.len();
    }

    /// Returns which task runs on which minion, and reports those that run on two.
    fn find_at_work(&mut self) -> BTreeMap<TaskId, Name> {
        let mut at_work: BTreeMap<TaskId, Name> = BTreeMap::new();
        for (task, minion, run) in self.world.places() {
            if let Some(at) = self.machine_of(&minion) {
                self.watch.last_place.insert(task, at);
            }
            if let Some(other) = at_work.insert(task, minion.clone()) {
                let line = format!("{task} runs on {minion} as run {run} and on {other}");
                self.trace(&line);
                self.watch.report.twice.get_or_insert(line);
            }
        }
        at_work
    }

    /// Takes note since when there has been room: nobody can promise to place tasks without it.
    fn watch_room(&mut self) {
        let since_ms = self.watch.room_ms.unwrap_or(self.world.now.steady_ms);
        self.watch.room_ms = self.has_room().then_some(since_ms);
    }

    /// Returns whether some machine that can be reached has room for one more task.
    fn has_room(&self) -> bool {
        (0..self.machines.len()).any(|at| {
            let machine = &self.machines[at];
            let stays = machine.minion.as_ref().is_some_and(|minion| !minion.draining);
            stays && self.may_link(at) && self.used(at) + MILLI_CPUS <= machine.milli_cpus
        })
    }

    /// Returns whether the store holds a step where a task that was never placed stands before one
    /// that was.
    fn skips_some(&self) -> bool {
        self.world.store.values().any(|record| {
            let record = JobRecord::decode(record).expect("this version wrote it");
            let steps = record.occurrences.iter().flat_map(|occurrence| &occurrence.steps);
            steps.into_iter().any(|tasks| {
                let placed = |task: &TaskRecord| task.run > 0;
                tasks.iter().rposition(placed) > tasks.iter().position(|t| !placed(t))
                    && !tasks.iter().all(placed)
            })
        })
    }
}
