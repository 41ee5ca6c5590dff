//! Orders to minions.

use geraniumpost_schema::Name;

use super::run::OrderState;
use super::{Coordinator, Effect};
use crate::{Now, Order, OrderKind, TaskId, ToAgent};

/// Share of its speed below which a task counts as slowed down, in percent: it would take longer here than
/// a move and the work elsewhere.
const SLOW_PERCENT: u8 = 50;

impl Coordinator {
    /// Gives the start order of a placement that is committed now.
    pub(super) fn start_committed(&mut self, task: TaskId, number: u32, now: Now) {
        let due = self
            .runs
            .get(&task)
            .is_some_and(|run| run.number == number && run.order == OrderState::Committing);
        if due {
            self.send_start(task, now);
        }
    }

    /// Gives a start order, again if need be: a minion begins a run at most once.
    pub(super) fn send_start(&mut self, task: TaskId, now: Now) {
        let Some(job) = self.jobs.get(&task.job) else { return };
        let place = self.runs.get(&task).map(|run| run.place.minion.clone()).unwrap_or_default();
        let ticket = self.approvals.ticket(task, &place, now).cloned().unwrap_or_default();
        let kind = OrderKind::Start {
            payload: job.record.spec.payload.clone(),
            checkpoint: job
                .hints
                .get(&task)
                .map_or_else(Name::default, |hint| hint.checkpoint.clone()),
            ticket,
        };
        let sent = self.send(task, kind);
        let Some(run) = self.runs.get_mut(&task) else { return };
        if sent {
            run.start_left(now.steady_ms);
        } else {
            run.order = OrderState::Unknown { since_ms: now.steady_ms };
        }
    }

    /// Gives a stop order.
    pub(super) fn send_stop(&mut self, task: TaskId, now: Now) {
        self.send(task, OrderKind::Stop);
        if let Some(run) = self.runs.get_mut(&task) {
            run.order = OrderState::Stopping { at_ms: now.steady_ms };
        }
    }

    /// Tells a run at which share to work.
    pub(super) fn send_pace(&mut self, task: TaskId, percent: u8, now: Now) {
        let sent = self.send(task, OrderKind::Pace { percent });
        if let Some(run) = self.runs.get_mut(&task) {
            run.pace = percent;
            run.pace_known = sent;
            run.throttled_ms =
                (percent < SLOW_PERCENT).then(|| run.throttled_ms.unwrap_or(now.steady_ms));
        }
    }

    /// Stops a run that this coordinator does not know.
    pub(super) fn stop_stranger(&mut self, minion: &Name, task: TaskId, run: u32) {
        let Some(view) = self.minions.get(minion) else { return };
        let agent = view.agent.clone();
        let order = Order { minion: minion.clone(), task, run, kind: OrderKind::Stop };
        self.note(format!("decision=stop_stranger task={task} run={run} minion={minion}"));
        self.effects.push(Effect::Send { agent, message: ToAgent::Order(order) });
    }

    /// Sends an order for a run; false if the minion's agent is not linked.
    fn send(&mut self, task: TaskId, kind: OrderKind) -> bool {
        let Some(run) = self.runs.get(&task) else { return false };
        let Some(minion) = self.minions.get(&run.place.minion) else { return false };
        if !minion.linked {
            return false;
        }
        let order = Order { minion: run.place.minion.clone(), task, run: run.number, kind };
        let agent = minion.agent.clone();
        self.effects.push(Effect::Send { agent, message: ToAgent::Order(order) });
        true
    }
}
