//! Minions' own lists, compared with what should be there.

use geraniumpost_schema::Name;

use super::Coordinator;
use super::run::OrderState;
use crate::{Now, PollResult, RunningTask, TaskId};

/// What to do about a run that a minion's lists do not show.
enum Missing {
    /// Nothing: its order may still be on its way.
    Wait,
    /// Give the start order again.
    Start,
    /// Its end was seen, or it will never begin.
    Over,
}

impl Coordinator {
    /// Takes in a minion's lists.
    pub(super) fn look(&mut self, agent: &Name, look: PollResult, now: Now) {
        let Some(minion) = self.minions.get(&look.minion) else { return };
        if minion.agent != *agent {
            return;
        }
        let id = look.minion.clone();
        for end in look.ended {
            self.take_end(&id, end, now);
        }
        if let Some(running) = look.running {
            let seen: std::collections::HashSet<TaskId> =
                running.iter().map(|row| row.task).collect();
            for row in running {
                self.seen_running(&id, row, look.orders_reported_before, now);
            }
            if !look.more_ends {
                self.find_missing(&id, &seen, look.orders_reported_before, now);
            }
            if let Some(minion) = self.minions.get_mut(&id) {
                self.placing_due |= !minion.looked;
                minion.looked = true;
            }
            self.adjust_pace(&id, now);
        }
        self.acknowledge();
    }

    fn seen_running(
        &mut self,
        minion: &Name,
        row: RunningTask,
        orders_reported_before: u64,
        now: Now,
    ) {
        let Some(run) = self.runs.get_mut(&row.task) else {
            self.stop_stranger(minion, row.task, row.run);
            return;
        };
        if run.place.minion != *minion || run.number != row.run {
            let strange = run.place.minion != *minion || run.number > row.run;
            if strange {
                self.stop_stranger(minion, row.task, row.run);
            }
            return;
        }
        if row.progress_percent != run.percent || run.pace == 0 {
            run.percent = row.progress_percent;
            run.progressed_ms = now.steady_ms;
        }
        run.gauge = row.gauge;
        run.seen_ms = now.steady_ms;
        if !run.stopping() {
            run.order = OrderState::Started { number: orders_reported_before };
            self.run_began(row.task, now);
        }
        if !row.checkpoint.is_empty()
            && let Some(job) = self.jobs.get_mut(&row.task.job)
        {
            let hint = job.hints.entry(row.task).or_default();
            if hint.checkpoint != row.checkpoint {
                hint.checkpoint = row.checkpoint;
            }
        }
    }

    fn find_missing(
        &mut self,
        id: &Name,
        seen: &std::collections::HashSet<TaskId>,
        orders_reported_before: u64,
        now: Now,
    ) {
        let Some(minion) = self.minions.get(id) else { return };
        let absent: Vec<TaskId> =
            minion.runs.iter().filter(|task| !seen.contains(task)).copied().collect();
        for task in absent {
            let Some(run) = self.runs.get(&task) else { continue };
            match judge(run.order, orders_reported_before) {
                Missing::Wait => {}
                Missing::Start => self.send_start(task, now),
                Missing::Over => {
                    let number = run.number;
                    self.note(format!("decision=missing task={task} run={number} minion={id}"));
                    self.requeue(task, 0, false, now);
                }
            }
        }
    }
}

/// Judges a run that is in neither list of its minion.
fn judge(order: OrderState, orders_reported_before: u64) -> Missing {
    match order {
        OrderState::Unknown { .. } => Missing::Start,
        OrderState::Started { number }
        | OrderState::Over { number }
        | OrderState::Barred { number, .. }
            if number <= orders_reported_before =>
        {
            Missing::Over
        }
        _ => Missing::Wait,
    }
}
