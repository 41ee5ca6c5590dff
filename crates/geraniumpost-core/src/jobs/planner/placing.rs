//! Carrying out placement decisions.

use geraniumpost_schema::{Name, Priority, Resources, Throttle, ToAgent};

use super::{Effect, Planner, PlannerAction, Run};
use crate::{
    Millis,
    jobs::{JobRecord, LeaseRole, Now, Transition, codes},
    placement::{Decision, Fleet, Observation, PlacementRequest},
};

impl Planner {
    /// Lets `decide` place what waits, and carries its decisions out.
    ///
    /// `decide` is the placement policy; it also logs its decisions. A start is only committed here:
    /// its order goes out when the commit is known to be in the store.
    pub fn place(
        &mut self,
        standing: LeaseRole,
        moment: Now,
        decide: impl FnOnce(Millis, &[PlacementRequest], &Fleet) -> Vec<Decision>,
    ) -> Vec<PlannerAction> {
        let mut actions = Vec::new();
        self.standing = standing;
        if !standing.may_assign() || !self.is_ready() || self.stepped_down {
            return actions;
        }
        self.show_workers(moment.clock);
        let wishes = self.wishes(moment);
        let decisions = decide(moment.clock, &wishes, &self.fleet);
        let impossible = |job: &Name| {
            let is =
                |d: &Decision| matches!(d, Decision::Impossible { job: other, .. } if other == job);
            decisions.iter().any(is)
        };
        self.impossible.retain(|job, _| impossible(job));
        for decision in decisions {
            self.carry_out(decision, moment, &mut actions);
        }
        self.flush(moment, &mut actions);
        actions
    }

    fn wishes(&self, moment: Now) -> Vec<PlacementRequest> {
        self.pending
            .iter()
            .filter_map(|job| self.record(job))
            .map(|record| self.wish(record, moment))
            .collect()
    }

    fn wish(&self, record: &JobRecord, moment: Now) -> PlacementRequest {
        let spec = record.spec();
        let class = self.classes.get(&spec.class);
        PlacementRequest::new(spec.id.clone(), spec.customer.clone(), spec.class.clone(), spec.need)
            .priority(class.map_or(Priority::Normal, |class| class.priority))
            .submitted(on_clock(record.submitted_ms(), moment))
            .not_before(on_clock(record.not_before_ms(), moment))
    }

    fn carry_out(&mut self, decision: Decision, moment: Now, actions: &mut Vec<PlannerAction>) {
        match decision {
            Decision::Start { job, worker, need, .. } => {
                self.assign(&job, &worker, need, moment, actions);
            }
            Decision::Evict { job, .. } => {
                self.want_evicted(&job);
            }
            Decision::Throttle { job, permille, .. } => {
                self.throttle(&job, permille, moment, actions);
            }
            Decision::Impossible { job, reason, .. } => {
                self.doubt(&job, reason.to_string(), moment);
            }
            Decision::GiveUp { job, reason } => {
                self.give_up(&job, codes::FAILED_TOO_OFTEN, reason.to_string(), moment);
            }
            Decision::Quarantine { worker, .. } => self.quarantine(&worker, true),
            Decision::Release { worker, .. } => self.quarantine(&worker, false),
            Decision::Wait { .. } => {}
        }
    }

    fn assign(
        &mut self,
        job: &Name,
        worker: &Name,
        need: Resources,
        moment: Now,
        actions: &mut Vec<PlannerAction>,
    ) {
        let step = Transition::Assign { worker: worker.clone() };
        if self.change(job, step, moment).is_err() {
            return;
        }
        let Some(record) = self.record(job).cloned() else { return };
        let epoch = record.epoch();
        self.add_run(&record, Run::new(worker.clone(), epoch, need), moment.clock);
        let effect = Effect::Assigned { job: job.clone(), epoch };
        self.after_commit(job, effect, moment, actions);
    }

    fn throttle(
        &mut self,
        job: &Name,
        permille: u32,
        moment: Now,
        actions: &mut Vec<PlannerAction>,
    ) {
        let Some(run) = self.runs.get(job).filter(|run| run.seen) else { return };
        let (agent, epoch) = (run.agent.clone(), run.epoch);
        self.fleet.update_task(job, |task| task.permille(permille));
        let order = Throttle { term: self.term, job: job.clone(), epoch, permille };
        actions.push(PlannerAction::Observe(Observation::Throttled {
            job: job.clone(),
            worker: agent.clone(),
            permille,
            at: moment.clock,
        }));
        actions.push(PlannerAction::Send { agent, frame: ToAgent::Throttle(order) });
    }

    /// Gives a job up once it has been impossible for a while, so that no job that was accepted is
    /// failed because its worker, or all workers, were out of sight for a moment.
    fn doubt(&mut self, job: &Name, reason: String, moment: Now) {
        let since = *self.impossible.entry(job.clone()).or_insert(moment.clock);
        if moment.clock.since(since) >= self.config.impossible_ms {
            self.give_up(job, codes::IMPOSSIBLE, reason, moment);
        }
    }

    fn give_up(&mut self, job: &Name, code: u16, reason: String, moment: Now) {
        // Only a job that was running or finished in the meantime refuses this, rightly.
        let _ = self.change(job, Transition::GiveUp { code, reason }, moment);
    }

    fn quarantine(&mut self, worker: &Name, quarantined: bool) {
        if let Some(view) = self.agents.get_mut(worker) {
            view.quarantined = quarantined;
        }
    }
}

/// Returns a wall time of a record as an instant of this process's clock.
const fn on_clock(wall_ms: u64, moment: Now) -> Millis {
    if wall_ms >= moment.wall_ms {
        moment.clock.plus(wall_ms - moment.wall_ms)
    } else {
        Millis(moment.clock.0.saturating_sub(moment.wall_ms - wall_ms))
    }
}
