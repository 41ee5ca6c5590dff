//! What waits and for how long, and lines that tell why a task is not placed.
//!
//! Nothing here changes a decision. Reasons are worked out only for the few lines that are written,
//! as hundreds of steps may wait at once.

use std::collections::BTreeMap;

use super::Coordinator;
use super::bar::{Bar, Bars};
use super::placing::ready_steps;
use super::run::Run;
use super::waits::{StepKey, WaitingStep};
use crate::{Now, StepSpec, TaskId, TaskPhase};

/// Pause between two looks at what waits, in milliseconds: gauges and lines tell of seconds.
const LOOK_EVERY_MS: u64 = 500;
/// Wait of a standing task after which a line tells of it, in milliseconds. Its users miss it at once,
/// and an ordinary end is followed by a new run in less.
const STANDING_MS: u64 = 2_000;
/// Wait of any other task after which a line tells of it, in milliseconds; waiting for room is
/// ordinary for them.
const OTHERS_MS: u64 = 5_000;
/// Pause between two lines on one step, in milliseconds.
const AGAIN_MS: u64 = 5_000;
/// Lines of one kind that one look may write: with two looks a second, four lines a second.
pub(super) const LINES_AT_ONCE: usize = 2;

impl Coordinator {
    /// Looks at what waits, now and then, and writes what operators should know of it.
    pub(super) fn watch_waits(&mut self, now: Now) {
        if self.waits.looked_ms.is_some_and(|looked| now.steady_ms < looked + LOOK_EVERY_MS) {
            return;
        }
        self.waits.looked_ms = Some(now.steady_ms);
        self.look_at_waits(now);
        self.tell_not_placed(now);
        self.tell_inherited(now);
        self.tell_unreachable(now);
    }

    /// Takes note that a run of a standing task has ended. One that was not seen at work, or whose
    /// minion could not be reached, has been down for longer.
    pub(super) fn standing_ended(&mut self, task: TaskId, run: Option<&Run>, now: Now) {
        let standing = self.step_spec(task).is_some_and(|step| step.persistent);
        if !standing || !self.open.contains(&task.job) {
            return;
        }
        let since_ms = self.waits.down.entry(task).or_insert(now.steady_ms);
        let minion = run.and_then(|run| self.minions.get(&run.place.minion));
        let worked = run.is_some_and(|run| run.started_ms.is_some());
        if worked && minion.is_some_and(|minion| !minion.unreachable()) {
            *since_ms = now.steady_ms;
        }
    }

    fn look_at_waits(&mut self, now: Now) {
        let mut steps = BTreeMap::new();
        let mut down = self.down_with_a_run(now);
        for id in &self.open {
            let Some(job) = self.jobs.get(id) else { continue };
            for (occurrence, step) in ready_steps(&job.record) {
                let key = (*id, occurrence, step);
                if let Some(waiting) = self.waiting_step(key, &mut down, now) {
                    steps.insert(key, waiting);
                }
            }
        }
        self.waits.steps = steps;
        self.waits.down = down;
    }

    /// Returns since when standing tasks have been down that have a run: one that has not begun, or
    /// whose minion cannot be reached.
    fn down_with_a_run(&self, now: Now) -> BTreeMap<TaskId, u64> {
        let not_begun = self.runs.iter().filter(|(_, run)| run.started_ms.is_none());
        let cut_off = self.minions.values().filter(|minion| minion.unreachable());
        not_begun
            .map(|(task, _)| *task)
            .chain(cut_off.flat_map(|minion| minion.runs.iter().copied()))
            .filter(|task| self.open.contains(&task.job))
            .filter(|task| self.step_spec(*task).is_some_and(|step| step.persistent))
            .map(|task| (task, self.down_since(task, now)))
            .collect()
    }

    fn down_since(&self, task: TaskId, now: Now) -> u64 {
        self.waits.down.get(&task).copied().unwrap_or(now.steady_ms)
    }

    /// Returns what waits of a step, and enters its standing tasks as down.
    fn waiting_step(
        &self,
        key: StepKey,
        down: &mut BTreeMap<TaskId, u64>,
        now: Now,
    ) -> Option<WaitingStep> {
        let waiting = self.all_waiting(key);
        let first = waiting.first()?;
        let before = self.waits.steps.get(&key);
        let told_ms = before.and_then(|before| before.told_ms);
        let standing = self.step_spec(*first)?.persistent;
        if !standing {
            // Tasks are placed in their order, so that a later first one means progress.
            let since_ms = before.filter(|before| first.index <= before.first);
            let since_ms = since_ms.map_or(now.steady_ms, |before| before.since_ms);
            return Some(WaitingStep { standing, first: first.index, since_ms, told_ms });
        }
        let mut since_ms = now.steady_ms;
        for task in &waiting {
            let down_ms = self.down_since(*task, now);
            down.insert(*task, down_ms);
            since_ms = since_ms.min(down_ms);
        }
        Some(WaitingStep { standing, first: first.index, since_ms, told_ms })
    }

    /// Lists the tasks of a step that wait, also those that pause.
    fn all_waiting(&self, (job, occurrence, step): StepKey) -> Vec<TaskId> {
        let Some(record) = self.jobs.get(&job).map(|job| &job.record) else { return Vec::new() };
        let found = record.occurrences.iter().find(|o| o.number == occurrence);
        let tasks = found.and_then(|o| o.steps.get(usize::from(step))).into_iter().flatten();
        tasks
            .zip(0..)
            .filter(|(task, _)| task.phase == TaskPhase::Waiting)
            .map(|(_, index)| TaskId { job, occurrence, step, index })
            .collect()
    }

    /// Writes why tasks are not placed, for the steps that are due: standing ones first, and then
    /// those that no line has told for longest.
    fn tell_not_placed(&mut self, now: Now) {
        let is_due = |wait: &WaitingStep| {
            let patience_ms = if wait.standing { STANDING_MS } else { OTHERS_MS };
            now.steady_ms >= wait.since_ms + patience_ms
                && wait.told_ms.is_none_or(|told| now.steady_ms >= told + AGAIN_MS)
        };
        let due = self.waits.steps.iter().filter(|(_, wait)| is_due(wait));
        let mut due: Vec<_> =
            due.map(|(key, wait)| (!wait.standing, wait.told_ms, wait.since_ms, *key)).collect();
        due.sort_unstable();
        let left_out = due.len().saturating_sub(LINES_AT_ONCE);
        due.truncate(LINES_AT_ONCE);
        for (_, _, _, key) in due {
            self.tell_why(key, left_out, now);
        }
    }

    fn tell_why(&mut self, key: StepKey, left_out: usize, now: Now) {
        if let Some(line) = self.why_not_placed(key, now) {
            self.note(format!("{line}{}", field_unless_zero("omitted", left_out as u64)));
        }
        if let Some(wait) = self.waits.steps.get_mut(&key) {
            wait.told_ms = Some(now.steady_ms);
        }
    }

    fn why_not_placed(&self, key: StepKey, now: Now) -> Option<String> {
        let since_ms = self.waits.steps.get(&key)?.since_ms;
        let waiting = self.all_waiting(key);
        let may_begin = |task: &&TaskId| self.pause_ms(**task, now) == 0;
        // Placement begins with the first task that does not pause, and ends where one finds no place.
        let task = *waiting.iter().find(may_begin).or_else(|| waiting.first())?;
        let spec = self.step_spec(task)?;
        let (job, occurrence, step) = key;
        let ran = |task: &&TaskId| self.task_record(**task).is_some_and(|record| record.run > 0);
        Some(format!(
            "event=not_placed job={job} step={occurrence}.{step} first={} waiting={} ran={} \
             waited_ms={}{}{} minions={}{}",
            task.index,
            waiting.len(),
            waiting.iter().filter(ran).count(),
            now.steady_ms.saturating_sub(since_ms),
            field_unless_zero("gang_size", if spec.gang { spec.count.into() } else { 0 }),
            field_unless_zero("pause_ms", self.pause_ms(task, now)),
            self.minions.len(),
            self.reasons(task, spec, waiting.len(), now),
        ))
    }

    /// Returns how long a task still pauses before it may be placed, in milliseconds.
    fn pause_ms(&self, task: TaskId, now: Now) -> u64 {
        let hint = self.jobs.get(&task.job).and_then(|job| job.hints.get(&task));
        hint.map_or(0, |hint| hint.not_before_ms.saturating_sub(now.steady_ms))
    }

    /// Returns how many minions each bound keeps from taking a task, and how many take it.
    fn reasons(&self, task: TaskId, spec: &StepSpec, waiting: usize, now: Now) -> String {
        let Some(needs) = self.needs(task, spec) else { return String::new() };
        let mut bars = Bars::default();
        let mut open = 0;
        for minion in self.minions.values() {
            match self.barred(&needs, minion, now) {
                Some(bar) => bars.add(bar, 1),
                None => open += 1,
            }
        }
        if open > 0 {
            let rack = self.wanted_rack(task, spec, waiting, now);
            if self.choose(task, spec, rack.as_ref(), now).is_some() {
                return format!("{bars} fits={open}");
            }
            bars.add(Bar::TooSlow, open);
        }
        bars.to_string()
    }
}

/// Returns a field of a line, or nothing for 0.
pub(super) fn field_unless_zero(name: &str, value: u64) -> String {
    if value == 0 { String::new() } else { format!(" {name}={value}") }
}
