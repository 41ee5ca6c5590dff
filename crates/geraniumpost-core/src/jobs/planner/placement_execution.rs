//! Execution of placement decisions.

use geraniumpost_schema::{Name, Priority, Resources, Throttle, ToAgent};

use super::{Effect, Planner, PlannerAction, Run};
use crate::{
    Millis,
    jobs::{JobRecord, LeaseRole, Now, Transition, codes},
    placement::{Decision, Fleet, Observation, PlacementRequest},
};

impl Planner {
    /// Passes the pending jobs to `decide` and executes the returned decisions.
    ///
    /// `decide` applies the placement policy and logs its decisions. For a start, the planner only
    /// commits the assignment here. The start order is sent once the commit is known to be in the
    /// store.
    pub fn place(
        &mut self,
        role: LeaseRole,
        now: Now,
        decide: impl FnOnce(Millis, &[PlacementRequest], &Fleet) -> Vec<Decision>,
    ) -> Vec<PlannerAction> {
        let mut actions = Vec::new();
        self.role = role;
        if !role.may_assign() || !self.is_ready() || self.stepped_down {
            return actions;
        }
        self.update_worker_states(now.clock);
        let requests = self.placement_requests(now);
        let decisions = decide(now.clock, &requests, &self.fleet);
        let impossible = |job: &Name| {
            let matches_job =
                |d: &Decision| matches!(d, Decision::Impossible { job: other, .. } if other == job);
            decisions.iter().any(matches_job)
        };
        self.impossible.retain(|job, _| impossible(job));
        for decision in decisions {
            self.apply_decision(decision, now, &mut actions);
        }
        self.send_commits(now, &mut actions);
        actions
    }

    fn placement_requests(&self, now: Now) -> Vec<PlacementRequest> {
        self.pending
            .iter()
            .filter_map(|job| self.record(job))
            .map(|record| self.placement_request(record, now))
            .collect()
    }

    fn placement_request(&self, record: &JobRecord, now: Now) -> PlacementRequest {
        let spec = record.spec();
        let class = self.classes.get(&spec.class);
        PlacementRequest::new(spec.id.clone(), spec.customer.clone(), spec.class.clone(), spec.need)
            .priority(class.map_or(Priority::Normal, |class| class.priority))
            .submitted(to_monotonic(record.submitted_ms(), now))
            .not_before(to_monotonic(record.not_before_ms(), now))
    }

    fn apply_decision(&mut self, decision: Decision, now: Now, actions: &mut Vec<PlannerAction>) {
        match decision {
            Decision::Start { job, worker, need, .. } => {
                self.assign(&job, &worker, need, now, actions);
            }
            Decision::Evict { job, .. } => {
                self.request_eviction(&job);
            }
            Decision::Throttle { job, permille, .. } => {
                self.throttle(&job, permille, now, actions);
            }
            Decision::Impossible { job, reason, .. } => {
                self.on_impossible(&job, reason.to_string(), now);
            }
            Decision::GiveUp { job, reason } => {
                self.give_up(&job, codes::FAILED_TOO_OFTEN, reason.to_string(), now);
            }
            Decision::Quarantine { worker, .. } => self.set_quarantined(&worker, true),
            Decision::Release { worker, .. } => self.set_quarantined(&worker, false),
            Decision::Wait { .. } => {}
        }
    }

    fn assign(
        &mut self,
        job: &Name,
        worker: &Name,
        need: Resources,
        now: Now,
        actions: &mut Vec<PlannerAction>,
    ) {
        let transition = Transition::Assign { worker: worker.clone() };
        if self.apply_transition(job, transition, now).is_err() {
            return;
        }
        let Some(record) = self.record(job).cloned() else { return };
        let epoch = record.epoch();
        self.add_run(&record, Run::new(worker.clone(), epoch, need), now.clock);
        let effect = Effect::SendStart { job: job.clone(), epoch };
        self.apply_after_commit(job, effect, now, actions);
    }

    fn throttle(&mut self, job: &Name, permille: u32, now: Now, actions: &mut Vec<PlannerAction>) {
        let Some(run) = self.runs.get(job).filter(|run| run.reported) else { return };
        let (agent, epoch) = (run.agent.clone(), run.epoch);
        self.fleet.update_task(job, |task| task.permille(permille));
        let order = Throttle { term: self.term, job: job.clone(), epoch, permille };
        actions.push(PlannerAction::Observe(Observation::Throttled {
            job: job.clone(),
            worker: agent.clone(),
            permille,
            at: now.clock,
        }));
        actions.push(PlannerAction::Send { agent, frame: ToAgent::Throttle(order) });
    }

    /// Fails a job once placement has considered it impossible throughout the configured time. An
    /// accepted job must not fail because its worker, or all workers, were unreachable for a short
    /// time.
    fn on_impossible(&mut self, job: &Name, reason: String, now: Now) {
        let since = *self.impossible.entry(job.clone()).or_insert(now.clock);
        if now.clock.since(since) >= self.config.impossible_timeout_ms {
            self.give_up(job, codes::IMPOSSIBLE, reason, now);
        }
    }

    fn give_up(&mut self, job: &Name, code: u16, reason: String, now: Now) {
        // The transition is rejected only if the job was assigned or finished in the meantime.
        let _ = self.apply_transition(job, Transition::GiveUp { code, reason }, now);
    }

    fn set_quarantined(&mut self, worker: &Name, quarantined: bool) {
        if let Some(view) = self.agents.get_mut(worker) {
            view.quarantined = quarantined;
        }
    }
}

/// Converts a recorded wall time to an instant of this process's monotonic clock.
const fn to_monotonic(wall_ms: u64, now: Now) -> Millis {
    if wall_ms >= now.wall_ms {
        now.clock.plus(wall_ms - now.wall_ms)
    } else {
        Millis(now.clock.0.saturating_sub(now.wall_ms - wall_ms))
    }
}
