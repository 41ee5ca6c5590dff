//! Handling of the results of orders.

use geraniumpost_schema::Name;

use super::run::{OrderState, Run};
use super::termination_cause::TerminationCause;
use super::{Coordinator, Effect};
use crate::tuning::{QUARANTINE_DURATION_MS, REFUSAL_BACKOFF_MS};
use crate::{Now, OrderKindTag, OrderOutcome, OrderResult, TaskId};

/// Number of start orders after which a run is stopped on its minion if the last order had no
/// response.
const MAX_START_ORDERS: u32 = 4;

impl Coordinator {
    /// Handles the result of an order. A result for an earlier run of the task only matters if it
    /// shows that a newer coordinator exists or that the minion has terminated.
    pub(super) fn handle_order_result(&mut self, result: OrderResult, now: Now) {
        if result.outcome == OrderOutcome::Superseded {
            self.effects.push(Effect::Superseded);
            return;
        }
        if result.outcome == OrderOutcome::MinionTerminated {
            self.remove_minion(&result.minion, None, TerminationCause::Unknown, now);
            return;
        }
        self.record_order_response(&result);
        if result.kind_tag == OrderKindTag::Stop && is_stop_accepted(result.outcome) {
            self.record_bar_result(&result);
        }
        let is_current = self
            .runs
            .get(&result.task)
            .is_some_and(|run| run.number == result.run && run.place.minion == result.minion);
        if !is_current {
            self.handle_copy_result(&result, now);
            return;
        }
        match result.kind_tag {
            OrderKindTag::Start => self.handle_start_result(&result, now),
            OrderKindTag::Stop => self.handle_stop_result(&result, now),
            OrderKindTag::Pace => self.handle_pace_result(&result),
        }
    }

    /// Records whether a minion has responded to an order. One that has not gets no new tasks until
    /// it responds: it may have crashed, and tasks would wait there for its return.
    fn record_order_response(&mut self, result: &OrderResult) {
        let Some(minion) = self.minions.get_mut(&result.minion) else { return };
        match result.outcome {
            OrderOutcome::NotSent => {}
            OrderOutcome::NoResponse => {
                let is_first = !std::mem::replace(&mut minion.left_order_unanswered, true);
                if is_first {
                    self.log(format!("minion={} event=order_unanswered", result.minion));
                }
            }
            _ => self.record_response(&result.minion),
        }
    }

    /// Records that a minion has responded to an order or a poll.
    pub(super) fn record_response(&mut self, minion: &Name) {
        let Some(state) = self.minions.get_mut(minion) else { return };
        if std::mem::take(&mut state.left_order_unanswered) {
            self.placement_due = true;
            self.log(format!("minion={minion} event=responds_again"));
        }
    }

    fn handle_start_result(&mut self, result: &OrderResult, now: Now) {
        let Some(run) = self.runs.get_mut(&result.task) else { return };
        run.record_start_result(result.outcome);
        if run.is_stopping() {
            return;
        }
        let OrderResult { task, results_reported, .. } = *result;
        if result.outcome != OrderOutcome::Done {
            let (unresolved, starts, in_flight) =
                (run.start_unresolved, run.start_count, run.starts_in_flight);
            self.log(format!(
                "decision=start_failed job={} task={task} run={} minion={} why=\"{}\" \
                 starts={starts} in_flight={in_flight} unresolved={unresolved}",
                task.job, result.run, result.minion, result.outcome
            ));
        }
        let Some(run) = self.runs.get_mut(&result.task) else { return };
        match result.outcome {
            OrderOutcome::Done => {
                run.order = OrderState::Started { results_reported };
                self.record_started(task, now);
            }
            OrderOutcome::RunIsOver => run.order = OrderState::Ended { results_reported },
            // Another copy of the start order was carried out; polls of the minion show the state
            // of the run.
            _ if run.has_started() => {}
            OrderOutcome::NoResponse => {
                run.order = OrderState::Unknown { since_ms: now.steady_ms };
                if run.start_count >= MAX_START_ORDERS {
                    self.send_stop(task, now);
                }
            }
            OrderOutcome::TooLate => {
                run.order = OrderState::Unknown { since_ms: now.steady_ms };
            }
            OrderOutcome::BadTicket => {
                self.approvals.remove_ticket(task, &result.minion);
                self.abandon_run(task, now);
            }
            OrderOutcome::Unhealthy => {
                if let Some(minion) = self.minions.get_mut(&result.minion) {
                    minion.quarantined_until_ms = now.steady_ms + QUARANTINE_DURATION_MS;
                }
                self.abandon_run(task, now);
            }
            _ => self.abandon_run(task, now),
        }
    }

    /// Gives up a run that its minion refused or that no longer fits there, so that its task can be
    /// placed elsewhere.
    ///
    /// A refusal covers only one copy of the start order. Another copy that is in flight or had no
    /// response may still be carried out once the minion has free resources or a lease again, and
    /// the task would run twice. A stop prevents that, because the minion refuses this run from
    /// then on. If the refused copy was the only one, the task is requeued at once.
    pub(super) fn abandon_run(&mut self, task: TaskId, now: Now) {
        if self.runs.get(&task).is_some_and(Run::may_still_start) {
            self.send_stop(task, now);
        } else {
            self.requeue(task, REFUSAL_BACKOFF_MS, true, now);
        }
    }

    fn handle_stop_result(&mut self, result: &OrderResult, now: Now) {
        let accepted = is_stop_accepted(result.outcome);
        let Some(run) = self.runs.get_mut(&result.task) else { return };
        if accepted && run.is_stopping() {
            run.order = OrderState::StopConfirmed {
                at_ms: now.steady_ms,
                results_reported: result.results_reported,
            };
        }
    }

    /// Handles the result of a pace order. An order that was not carried out is sent again when a
    /// poll next lists the run: otherwise a task that should be suspended would slow other tasks on
    /// its minion until it ends, or a throttled task would stay slow although processors are idle.
    fn handle_pace_result(&mut self, result: &OrderResult) {
        if let Some(run) = self.runs.get_mut(&result.task) {
            run.pace_confirmed &= result.outcome == OrderOutcome::Done;
        }
    }

    /// Records that a run has started. Sends the current pace of its image on the minion if the run
    /// has another pace or has not confirmed its pace.
    pub(super) fn record_started(&mut self, task: TaskId, now: Now) {
        let Some(run) = self.runs.get_mut(&task) else { return };
        if run.started_ms.is_none() {
            run.started_ms = Some(now.steady_ms);
            run.last_progress_ms = now.steady_ms;
        }
        let minion = run.place.minion.clone();
        if let Some(job) = self.jobs.get_mut(&task.job) {
            job.started = true;
        }
        let image =
            self.step_spec(task).filter(|step| step.best_effort).map(|step| step.image.clone());
        let Some(image) = image else { return };
        let tasks =
            self.minions.get(&minion).and_then(|minion| minion.best_effort_images.get(&image));
        let percent = tasks.map_or(100, |tasks| tasks.pace_percent);
        if self
            .runs
            .get(&task)
            .is_some_and(|run| run.pace_percent != percent || !run.pace_confirmed)
        {
            self.send_pace(task, percent, now);
        }
    }
}

/// Returns whether a minion has accepted a stop: it starts neither this run nor an earlier one.
const fn is_stop_accepted(outcome: OrderOutcome) -> bool {
    matches!(outcome, OrderOutcome::Done | OrderOutcome::RunIsOver)
}
