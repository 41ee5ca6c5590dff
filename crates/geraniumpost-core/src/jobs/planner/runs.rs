//! Orders that are sent until they have had their effect.

use geraniumpost_schema::{Name, StartTask, TaskRef, ToAgent};

use super::{AgentView, Planner, PlannerAction, Wanted};
use crate::Millis;

impl Planner {
    /// Sends every order that is due.
    ///
    /// Agents treat a repeat of an order as the same order, so that a lost one is simply sent again.
    pub(super) fn drive_all(&mut self, now: Millis, actions: &mut Vec<PlannerAction>) {
        if self.stepped_down {
            return;
        }
        let restless: Vec<Name> = self.restless.iter().cloned().collect();
        for job in restless {
            self.drive(&job, now, actions);
        }
    }

    /// Sends the order that one run needs, if it is due.
    pub(super) fn drive(&mut self, job: &Name, now: Millis, actions: &mut Vec<PlannerAction>) {
        let Some(run) = self.runs.get(job) else { return };
        if run.is_settled() {
            self.restless.remove(job);
            return;
        }
        let resend_ms = self.config.resend_ms;
        let paced = run.last_order.is_none_or(|last| now.since(last) >= resend_ms);
        let ready = self.agents.get(&run.agent).and_then(AgentView::ready);
        let (Some(incarnation), true, true) = (ready, run.committed, paced) else { return };
        let frame = match run.wanted {
            Wanted::Run if !self.standing.may_assign() => return,
            Wanted::Run if run.seen || run.may_start(incarnation) => self.start_order(job),
            Wanted::Evict => Some(ToAgent::Evict(self.task_ref(job, run.epoch))),
            Wanted::Run | Wanted::Stop => Some(ToAgent::Stop(self.task_ref(job, run.epoch))),
        };
        let Some(frame) = frame else { return };
        let starts = matches!(frame, ToAgent::Start(_));
        let Some(run) = self.runs.get_mut(job) else { return };
        run.last_order = Some(now);
        if starts {
            run.sent_to = Some(incarnation);
            run.sized = true;
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
