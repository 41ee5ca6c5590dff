//! Sending of orders to minions.

use geraniumpost_schema::Name;

use super::evacuated_domains::StartOrderPermission;
use super::run::OrderState;
use super::{Coordinator, Effect};
use crate::{Now, Order, OrderKind, TaskId, ToAgent};

/// Pace below which a task counts as throttled, in percent: slower than this, the task finishes
/// later than if it is moved to another minion.
const THROTTLED_BELOW_PERCENT: u8 = 50;

impl Coordinator {
    /// Sends the start order of a placement that has just been committed.
    pub(super) fn send_committed_start(&mut self, task: TaskId, number: u32, now: Now) {
        let is_due = self
            .runs
            .get(&task)
            .is_some_and(|run| run.number == number && run.order == OrderState::Committing);
        if !is_due {
            return;
        }
        if self.has_left_order_unanswered(task) {
            return self.drop_start(task, "minion does not respond", now);
        }
        self.send_start(task, now);
    }

    fn has_left_order_unanswered(&self, task: TaskId) -> bool {
        let minion = self.runs.get(&task).and_then(|run| self.minions.get(&run.place.minion));
        minion.is_some_and(|minion| minion.left_order_unanswered)
    }

    /// Sends a start order, or gives up the run if it no longer fits on its minion. The order may
    /// be sent repeatedly, because a minion starts a run at most once.
    ///
    /// The start is held back, and tried again later, while it is not known whether the minion's
    /// failure domain is evacuated.
    pub(super) fn send_start(&mut self, task: TaskId, now: Now) {
        let expires_ms = match self.start_permission(task, now) {
            StartOrderPermission::Allowed { expires_ms } => expires_ms,
            StartOrderPermission::Forbidden => {
                return self.drop_start(task, "domain is evacuated", now);
            }
            StartOrderPermission::Unknown => {
                if let Some(run) = self.runs.get_mut(&task) {
                    run.order = OrderState::Unknown { since_ms: now.steady_ms };
                }
                return;
            }
        };
        if !self.still_fits(task) {
            return self.drop_start(task, "capacity has shrunk", now);
        }
        let Some(job) = self.jobs.get(&task.job) else { return };
        let minion = self.runs.get(&task).map(|run| run.place.minion.clone()).unwrap_or_default();
        let ticket = self.approvals.ticket(task, &minion, now).cloned().unwrap_or_default();
        let pace_percent = self.first_pace(task);
        let kind = OrderKind::Start {
            payload: job.record.spec.payload.clone(),
            checkpoint: job
                .next_placements
                .get(&task)
                .map_or_else(Name::default, |next| next.checkpoint.clone()),
            ticket,
            expires_ms,
            pace_percent,
        };
        let sent = self.send_order(task, kind);
        let Some(run) = self.runs.get_mut(&task) else { return };
        if sent {
            run.record_start_sent(now.steady_ms);
            if let Some(percent) = pace_percent {
                // An agent of an earlier version ignores the pace in the start order, and a copy
                // of the order may carry another pace: the pace is sent again after the start.
                run.pace_percent = percent;
                run.pace_confirmed = false;
            }
            self.record_start_in_domain(&minion, now);
        } else {
            run.order = OrderState::Unknown { since_ms: now.steady_ms };
        }
    }

    /// Returns whether a run that is about to start fits on its minion beside the runs that may
    /// exist there, including those that are being stopped.
    ///
    /// The minion's capacity may have shrunk since the run was placed, while the placement was
    /// being committed or the start order had no response. Some minions do not guard their capacity
    /// and would start the run nevertheless.
    fn still_fits(&self, task: TaskId) -> bool {
        let Some(run) = self.runs.get(&task) else { return true };
        let Some(minion) = self.minions.get(&run.place.minion) else { return true };
        if !minion.reported || minion.reserved.fits(minion.info.capacity) {
            return true;
        }
        let others = minion.runs.iter().filter(|other| **other != task);
        let others = others.filter_map(|other| self.runs.get(other));
        let used = others
            .filter(|other| other.order != OrderState::Committing)
            .fold(run.reserved, |used, other| used + other.reserved);
        let copies = minion.copies.iter().filter_map(|copy| self.copies.get(copy));
        let used = copies.fold(used, |used, copy| used + copy.reserved);
        used.fits(minion.info.capacity)
    }

    /// Gives up a run whose start must not be sent.
    fn drop_start(&mut self, task: TaskId, why: &str, now: Now) {
        self.log_start_dropped(task, why);
        self.abandon_run(task, now);
    }

    fn log_start_dropped(&mut self, task: TaskId, why: &str) {
        let Some(run) = self.runs.get(&task) else { return };
        self.log(format!(
            "decision=start_failed job={} task={task} run={} minion={} why=\"{why}\" \
             starts={} in_flight={} unresolved={}",
            task.job,
            run.number,
            run.place.minion,
            run.start_count,
            run.starts_in_flight,
            run.start_unresolved
        ));
    }

    pub(super) fn send_stop(&mut self, task: TaskId, now: Now) {
        self.send_order(task, OrderKind::Stop);
        if let Some(run) = self.runs.get_mut(&task) {
            run.order = OrderState::Stopping { at_ms: now.steady_ms };
        }
    }

    /// Sends a pace order, and records the start or the end of throttling.
    pub(super) fn send_pace(&mut self, task: TaskId, percent: u8, now: Now) {
        let sent = self.send_order(task, OrderKind::Pace { percent });
        if let Some(run) = self.runs.get_mut(&task) {
            run.pace_percent = percent;
            run.pace_confirmed = sent;
            run.throttled_since_ms = (percent < THROTTLED_BELOW_PERCENT)
                .then(|| run.throttled_since_ms.unwrap_or(now.steady_ms));
        }
    }

    /// Stops a run that this coordinator does not expect on a minion, or that must not start there.
    pub(super) fn stop_unknown_run(&mut self, minion: &Name, task: TaskId, run: u32, why: &str) {
        let Some(state) = self.minions.get(minion) else { return };
        let agent = state.agent.clone();
        let order = Order { minion: minion.clone(), task, run, kind: OrderKind::Stop };
        self.log(format!(
            "decision=stop_unknown_run task={task} run={run} minion={minion} why=\"{why}\""
        ));
        self.effects.push(Effect::Send { agent, message: ToAgent::Order(order) });
    }

    /// Sends an order for a run. Returns false if the minion's agent is not linked.
    fn send_order(&mut self, task: TaskId, kind: OrderKind) -> bool {
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
