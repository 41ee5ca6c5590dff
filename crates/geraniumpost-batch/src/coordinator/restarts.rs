//! Minions that start again under the id that they had.
//!
//! The runs of the earlier process ended with it. But a start order that had no response yet may be
//! carried out by the later process: it is addressed to the same id, its fencing token is valid, and
//! its deadline does not protect, because the later process's clock begins again. Such a run is first
//! stopped on the later process, which then rejects it, and only then its task is placed again.

use geraniumpost_schema::Name;

use super::Coordinator;
use super::late_starts::Bar;
use super::minion::Minion;
use super::run::{OrderState, Run};
use crate::{Incarnation, MinionInfo, Now, OrderResult, TaskId, TaskPhase};

impl Coordinator {
    /// Moves the runs of a terminated incarnation whose start order may still be carried out to the
    /// process that runs under the same id now, and stops them there. Returns the other runs.
    pub(super) fn stop_late_runs_on(
        &mut self,
        successor: &Name,
        agent: &Name,
        runs: Vec<TaskId>,
        now: Now,
    ) -> Vec<TaskId> {
        let may_start = |run: &Run| run.may_still_start() && run.order != OrderState::Committing;
        let (late, ended): (Vec<_>, Vec<_>) =
            runs.into_iter().partition(|task| self.runs.get(task).is_some_and(may_start));
        if !late.is_empty() {
            self.log(format!("decision=stop_late_starts minion={successor} runs={}", late.len()));
        }
        for task in late {
            self.move_run(task, successor, agent, now);
            self.send_stop(task, now);
        }
        ended
    }

    /// Moves all runs of an incarnation to the name under which the same process is reported now.
    /// Whether the runs exist is unknown, as after a takeover: the names do not rule out that the
    /// process is another one.
    pub(super) fn rename_minion(&mut self, earlier: &Name, name: &Name, now: Now) {
        let Some(minion) = self.minions.get(earlier) else { return };
        let (agent, runs) = (minion.agent.clone(), minion.runs.clone());
        self.log(format!("minion={earlier} event=renamed name={name} runs={}", runs.len()));
        for task in runs {
            self.move_run(task, name, &agent, now);
        }
        self.minions.remove(earlier);
    }

    /// Moves a run to another incarnation of its minion, also in its task's record: a successor must
    /// find the run under the incarnation whose end ends it.
    fn move_run(&mut self, task: TaskId, minion: &Name, agent: &Name, now: Now) {
        let Some(mut run) = self.remove_run(task) else { return };
        run.place.minion = minion.clone();
        run.start_unresolved |= run.order != OrderState::Committing;
        run.starts_in_flight = 0;
        if !run.is_stopping() && run.order != OrderState::Committing {
            run.order = OrderState::Unknown { since_ms: now.steady_ms };
        }
        let place = run.place.clone();
        self.insert_unreported_minion(minion, agent);
        self.insert_run(task, run);
        self.update_tasks(task, false, |record| record.phase = TaskPhase::Placed(place.clone()));
        self.mark_dirty(task.job);
    }

    /// Inserts a minion that its agent has named but not described yet, so that orders can be sent
    /// to it.
    fn insert_unreported_minion(&mut self, id: &Name, agent: &Name) {
        let linked = self.agents.get(agent).is_some_and(|agent| agent.linked);
        let info = MinionInfo { id: id.clone(), ..MinionInfo::default() };
        let minion =
            self.minions.entry(id.clone()).or_insert_with(|| Minion::new(info, agent.clone()));
        minion.linked = linked;
    }

    /// Keeps the start order of a run, or of a copy of one, that is over for this coordinator, if a
    /// copy of the order may still be carried out. Must be called however the run has ended: only
    /// the process that ran it rejects such an order.
    pub(super) fn keep_late_start(&mut self, task: TaskId, run: Option<&Run>, now: Now) {
        let Some(run) = run.filter(|run| run.may_still_start()) else { return };
        if run.order != OrderState::Committing {
            self.late_starts.record(&run.place.minion, task, run.number, now.steady_ms);
        }
    }

    /// Logs how many start orders are no longer kept although they may still be carried out.
    pub(super) fn report_dropped_late_starts(&mut self, now: Now) {
        if let Some(count) = self.late_starts.take_dropped_count(now.steady_ms) {
            self.log(format!("event=late_starts_dropped count={count}"));
        }
    }

    /// Stops runs in advance on a minion that was reported, if it has started again under the id of
    /// a minion with late starts.
    pub(super) fn bar_late_starts(&mut self, minion: &Name, now: Now) {
        let bars = self.late_starts.bars_on(minion, now.steady_ms);
        self.send_bars(bars);
    }

    pub(super) fn retry_bars(&mut self, now: Now) {
        let bars = self.late_starts.due_bars(now.steady_ms);
        self.send_bars(bars);
    }

    fn send_bars(&mut self, bars: Vec<Bar>) {
        for bar in bars {
            // A run of the same number may be known to exist there after all.
            let is_expected = self
                .runs
                .get(&bar.task)
                .is_some_and(|run| run.number == bar.number && run.place.minion == bar.minion);
            if !is_expected {
                self.stop_unknown_run(&bar.minion, bar.task, bar.number, "late start");
            }
        }
    }

    /// Records the result of a stop order, which may be for a run that is stopped in advance.
    pub(super) fn record_bar_result(&mut self, result: &OrderResult) {
        self.late_starts.record_barred(result);
    }

    /// Returns the incarnations that an agent's report of a termination is about. A report without
    /// a start time covers every process under the id, except the one that the agent reports as
    /// running.
    pub(super) fn terminated_incarnations(&self, agent: &Name, reported: &Name) -> Vec<Name> {
        let running = self.agents.get(agent).and_then(|agent| agent.minion.as_ref());
        let of_same_id = self.minions.iter().filter(|(id, minion)| {
            minion.agent == *agent
                && running != Some(*id)
                && Incarnation::may_be_same_process(id, reported)
                && Incarnation::from_name(id).is_later_than(reported)
        });
        std::iter::once(reported.clone()).chain(of_same_id.map(|(id, _)| id.clone())).collect()
    }
}
