//! What becomes of orders.

use super::run::{OrderState, Run};
use super::{Coordinator, Effect};
use crate::tuning::{NO_CAPACITY_BACKOFF_MS, QUARANTINE_MS};
use crate::{Now, OrderOutcome, OrderResult, OrderVerb, TaskId};

/// Unanswered starts after which a run is given up at its minion.
const MOST_STARTS: u32 = 4;

impl Coordinator {
    /// Takes in what became of an order.
    pub(super) fn order_result(&mut self, result: OrderResult, now: Now) {
        if result.outcome == OrderOutcome::Superseded {
            self.effects.push(Effect::Superseded);
            return;
        }
        if result.outcome == OrderOutcome::MinionTerminated {
            self.minion_gone(&result.minion, now);
            return;
        }
        let ours = self
            .runs
            .get(&result.task)
            .is_some_and(|run| run.number == result.run && run.place.minion == result.minion);
        if !ours {
            return;
        }
        match result.verb {
            OrderVerb::Start => self.start_result(&result, now),
            OrderVerb::Stop => self.stop_result(&result, now),
            OrderVerb::Pace => self.pace_result(&result),
        }
    }

    fn start_result(&mut self, result: &OrderResult, now: Now) {
        let Some(run) = self.runs.get_mut(&result.task) else { return };
        run.result_came();
        if run.stopping() {
            return;
        }
        let OrderResult { task, number, .. } = *result;
        if result.outcome != OrderOutcome::Done {
            let (unanswered, starts, out) = (run.unanswered, run.starts, run.out);
            self.note(format!(
                "decision=start_failed job={} task={task} run={} minion={} why=\"{}\" starts={starts} \
                 out={out} unanswered={unanswered}",
                task.job, result.run, result.minion, result.outcome
            ));
        }
        let Some(run) = self.runs.get_mut(&result.task) else { return };
        match result.outcome {
            OrderOutcome::Done => {
                run.order = OrderState::Started { number };
                self.run_began(task, now);
            }
            OrderOutcome::RunIsOver => run.order = OrderState::Over { number },
            // Another copy was carried out; the minion's lists tell what becomes of the run.
            _ if run.has_begun() => {}
            OrderOutcome::Unanswered => {
                run.unanswered = true;
                run.order = OrderState::Unknown { since_ms: now.steady_ms };
                if run.starts >= MOST_STARTS {
                    self.send_stop(task, now);
                }
            }
            OrderOutcome::TooLate => {
                run.order = OrderState::Unknown { since_ms: now.steady_ms };
            }
            OrderOutcome::BadTicket => {
                self.approvals.forget(task, &result.minion);
                self.place_elsewhere(task, now);
            }
            OrderOutcome::Unhealthy => {
                if let Some(minion) = self.minions.get_mut(&result.minion) {
                    minion.shunned_ms = now.steady_ms + QUARANTINE_MS;
                }
                self.place_elsewhere(task, now);
            }
            _ => self.place_elsewhere(task, now),
        }
    }

    /// Gives a refused run up at its minion.
    ///
    /// A refusal speaks for one copy of the order. Another copy that is on its way, or had no answer,
    /// may still be carried out when there is room or a lease again, beside the run elsewhere: the task
    /// would run twice. A stop bars them all first, as the minion refuses this run from then on. A start
    /// that was given once is settled by its refusal and waits for nothing.
    fn place_elsewhere(&mut self, task: TaskId, now: Now) {
        if self.runs.get(&task).is_some_and(Run::may_still_begin) {
            self.send_stop(task, now);
        } else {
            self.requeue(task, NO_CAPACITY_BACKOFF_MS, true, now);
        }
    }

    fn stop_result(&mut self, result: &OrderResult, now: Now) {
        let taken = matches!(result.outcome, OrderOutcome::Done | OrderOutcome::RunIsOver);
        let Some(run) = self.runs.get_mut(&result.task) else { return };
        if taken && run.stopping() {
            run.order = OrderState::Barred { at_ms: now.steady_ms, number: result.number };
        }
    }

    /// Takes in what became of a pace. One that was not carried out is given again when the run is next
    /// seen: what should stand still would press on the users of its neighbours to its end, and what was
    /// slowed down would stay slow beside processors that nobody uses.
    fn pace_result(&mut self, result: &OrderResult) {
        if let Some(run) = self.runs.get_mut(&result.task) {
            run.pace_known &= result.outcome == OrderOutcome::Done;
        }
    }

    /// Takes note that a run is at work.
    pub(super) fn run_began(&mut self, task: TaskId, now: Now) {
        let Some(run) = self.runs.get_mut(&task) else { return };
        if run.started_ms.is_none() {
            run.started_ms = Some(now.steady_ms);
            run.progressed_ms = now.steady_ms;
        }
        let minion = run.place.minion.clone();
        if let Some(job) = self.jobs.get_mut(&task.job) {
            job.begun = true;
        }
        let image =
            self.step_spec(task).filter(|step| step.best_effort).map(|step| step.image.clone());
        let Some(image) = image else { return };
        let filling = self.minions.get(&minion).and_then(|minion| minion.fill_images.get(&image));
        let percent = filling.map_or(100, |filling| filling.percent);
        if self.runs.get(&task).is_some_and(|run| run.pace != percent || !run.pace_known) {
            self.send_pace(task, percent, now);
        }
    }
}
