//! Orders to agents, repeated until they take effect.

use geraniumpost_schema::{Name, StartTask, TaskRef, ToAgent};

use super::{AgentView, Planner, PlannerAction, RunGoal};
use crate::Millis;

impl Planner {
    /// Sends the due orders of all runs that have not reached their goal.
    ///
    /// Agents treat a repeated order as the same order, so a lost order is sent again unchanged.
    pub(super) fn send_due_orders(&mut self, now: Millis, actions: &mut Vec<PlannerAction>) {
        if self.stepped_down {
            return;
        }
        let unsettled_runs: Vec<Name> = self.unsettled_runs.iter().cloned().collect();
        for job in unsettled_runs {
            self.send_order(&job, now, actions);
        }
    }

    /// Sends the order that a run needs, if it is due.
    pub(super) fn send_order(&mut self, job: &Name, now: Millis, actions: &mut Vec<PlannerAction>) {
        let Some(run) = self.runs.get(job) else { return };
        if run.is_settled() {
            self.unsettled_runs.remove(job);
            return;
        }
        let resend_interval_ms = self.config.resend_interval_ms;
        let paced = run.last_order_at.is_none_or(|last| now.since(last) >= resend_interval_ms);
        let ready = self.agents.get(&run.agent).and_then(AgentView::ready_incarnation);
        let (Some(incarnation), true, true) = (ready, run.committed, paced) else { return };
        let frame = match run.goal {
            RunGoal::Run if !self.role.may_assign() => return,
            RunGoal::Run if run.reported || run.may_start(incarnation) => self.start_order(job),
            RunGoal::Evict => Some(ToAgent::Evict(self.task_ref(job, run.epoch))),
            RunGoal::Run | RunGoal::Stop => Some(ToAgent::Stop(self.task_ref(job, run.epoch))),
        };
        let Some(frame) = frame else { return };
        let starts = matches!(frame, ToAgent::Start(_));
        let Some(run) = self.runs.get_mut(job) else { return };
        run.last_order_at = Some(now);
        if starts {
            run.start_sent_to = Some(incarnation);
            run.size_sent = true;
        }
        actions.push(PlannerAction::Send { agent: run.agent.clone(), frame });
    }

    fn start_order(&self, job: &Name) -> Option<ToAgent> {
        let (record, run) = (self.record(job)?, self.runs.get(job)?);
        let spec = record.spec();
        Some(ToAgent::Start(StartTask {
            term: self.term,
            job: job.clone(),
            epoch: run.epoch,
            customer: spec.customer.clone(),
            class: spec.class.clone(),
            need: run.need,
            command: spec.command.clone(),
            checkpoint: record.checkpoint().clone(),
        }))
    }

    fn task_ref(&self, job: &Name, epoch: u64) -> TaskRef {
        TaskRef { term: self.term, job: job.clone(), epoch }
    }
}
