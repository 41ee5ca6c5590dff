//! Heartbeats, links and leases of agents.

use geraniumpost_schema::{AgentState, Heartbeat, Name, ToAgent};

use super::{Planner, PlannerAction, RunGoal};
use crate::{
    Millis,
    jobs::{LeaseRole, Now, Transition},
    placement::{WorkerState, WorkerView},
};

impl Planner {
    /// Handles a heartbeat and returns the term and the lease duration in milliseconds for its
    /// acknowledgement, both 0 if no lease is granted.
    ///
    /// `hold_ms` must be at least the duration granted by the acknowledgement, see
    /// [`PlannerLease::longest_agent_lease_ms`](crate::jobs::PlannerLease::longest_agent_lease_ms).
    /// The planner counts the lease from its acknowledgement, and the agent from the sending of its
    /// heartbeat. The lease therefore always expires at the agent first.
    pub fn heartbeat(
        &mut self,
        heartbeat: &Heartbeat,
        hold_ms: u64,
        role: LeaseRole,
        now: Millis,
    ) -> (u64, u64) {
        if self.stepped_down || !role.may_grant_leases() || !heartbeat.has_worker {
            return (0, 0);
        }
        self.update_worker(heartbeat, now);
        let Some(view) = self.agents.get_mut(&heartbeat.agent) else { return (0, 0) };
        view.lease_until = view.lease_until.max(now.plus(hold_ms));
        (self.term, hold_ms)
    }

    /// Updates the worker and its load in placement from the agent's heartbeat.
    fn update_worker(&mut self, heartbeat: &Heartbeat, now: Millis) {
        let agent = &heartbeat.agent;
        let new = !self.agents.contains_key(agent);
        let view = self.agents.entry(agent.clone()).or_default();
        if new {
            view.placement_state = WorkerState::Lost;
        }
        let draining = heartbeat.state == AgentState::Draining;
        let starts_draining = draining && !view.draining;
        let state = view.placement_state;
        let reserve = self.reserves.get(&heartbeat.service).copied().unwrap_or_default();
        let mut worker = WorkerView::new(
            agent.clone(),
            heartbeat.domain.clone(),
            heartbeat.rack.clone(),
            heartbeat.capacity,
        )
        .reserve(reserve)
        .state(state);
        if !heartbeat.service.is_empty() {
            worker = worker.service(heartbeat.service.clone());
        }
        if self.fleet.worker(agent).is_none_or(|old| old.allowance() != worker.allowance()) {
            let tasks = self.tasks_of(agent, now);
            self.fleet.put_worker(worker.tasks(tasks));
        }
        let busy = heartbeat.load.in_flight.saturating_mul(1000) / heartbeat.slots.max(1);
        self.fleet.set_load(agent, busy, heartbeat.load.p99_us);
        if starts_draining {
            self.on_draining(agent);
        }
    }

    pub(super) fn on_link_up(
        &mut self,
        agent: &Name,
        incarnation: u64,
        now: Now,
        actions: &mut Vec<PlannerAction>,
    ) {
        let view = self.agents.entry(agent.clone()).or_default();
        if view.link != Some(incarnation) {
            view.draining = false;
        }
        view.link = Some(incarnation);
        view.inventory_received = false;
        view.inventory_requested_at = now.clock;
        self.send_supersede(agent, actions);
    }

    pub(super) fn on_link_down(&mut self, agent: &Name, incarnation: u64) {
        let Some(view) = self.agents.get_mut(agent) else { return };
        if view.link == Some(incarnation) {
            view.link = None;
            view.inventory_received = false;
        }
    }

    /// Marks the agent as draining and evicts the evictable runs from its VM.
    pub(super) fn on_draining(&mut self, agent: &Name) {
        let Some(view) = self.agents.get_mut(agent) else { return };
        view.draining = true;
        let evicted: Vec<Name> = self
            .runs
            .iter()
            .filter(|(_, run)| run.agent == *agent && run.goal == RunGoal::Run)
            .map(|(job, _)| job.clone())
            .collect();
        for job in evicted {
            self.request_eviction(&job);
        }
    }

    /// Requests the eviction of a run if its class is evictable, and returns whether it did.
    pub(super) fn request_eviction(&mut self, job: &Name) -> bool {
        let class = self.record(job).map(|record| record.spec().class.clone());
        let evictable =
            class.and_then(|class| self.classes.get(&class)).is_none_or(|class| class.evictable);
        let Some(run) = self.runs.get_mut(job) else { return false };
        if !evictable || run.goal != RunGoal::Run {
            return false;
        }
        run.goal = RunGoal::Evict;
        run.last_order_at = None;
        self.unsettled_runs.insert(job.clone());
        true
    }

    /// Requests again the inventories whose request or response was lost.
    pub(super) fn request_inventories(&mut self, now: Millis, actions: &mut Vec<PlannerAction>) {
        let resend_interval_ms = self.config.resend_interval_ms;
        let mut due = Vec::new();
        for (agent, view) in &mut self.agents {
            let missing = view.link.is_some() && !view.inventory_received;
            if missing && now.since(view.inventory_requested_at) >= resend_interval_ms {
                view.inventory_requested_at = now;
                due.push(agent.clone());
            }
        }
        for agent in &due {
            self.send_supersede(agent, actions);
        }
    }

    fn send_supersede(&self, agent: &Name, actions: &mut Vec<PlannerAction>) {
        let frame = ToAgent::Supersede(self.term);
        actions.push(PlannerAction::Send { agent: agent.clone(), frame });
    }

    /// Passes the states of all workers to placement.
    pub(super) fn update_worker_states(&mut self, now: Millis) {
        for (agent, view) in &mut self.agents {
            let state = view.worker_state(now);
            if state != view.placement_state && self.fleet.set_state(agent, state) {
                view.placement_state = state;
            }
        }
    }

    /// Returns the instant by which every run on an agent must have ended, whatever happened to the
    /// agent.
    ///
    /// The agent stops renewing at the latest when its last lease expires. A renewal in transit may
    /// extend a worker's lease once more, and the extended lease then has to expire. In addition,
    /// the clocks of the VMs may run at slightly different speeds.
    fn runs_ended_by(&self, agent: &Name, now: Millis) -> Millis {
        let granted = self.agents.get(agent).map_or(Millis(0), |view| view.lease_until);
        let leases_until = granted.max(self.predecessors.leases_until());
        let lease = 2 * self.config.worker_lease_ms;
        let drift = leases_until.since(now) / 100 + lease / 100 + self.config.drift_margin_ms;
        leases_until.plus(lease + drift)
    }

    /// Records the runs of an agent as lost once all their leases must have expired, and removes
    /// the agent after a further retention period if it has no link.
    pub(super) fn end_expired_runs(&mut self, now: Now, actions: &mut Vec<PlannerAction>) {
        let clock = now.clock;
        let mut expired = Vec::new();
        let mut departed = Vec::new();
        for (agent, view) in &self.agents {
            let at = self.runs_ended_by(agent, clock);
            if clock >= at {
                expired.push(agent.clone());
            }
            if view.link.is_none() && clock >= at.plus(self.config.agent_retention_ms) {
                departed.push(agent.clone());
            }
        }
        if !expired.is_empty() {
            self.end_lost_runs_of(&expired, now, actions);
        }
        for agent in departed {
            self.agents.remove(&agent);
            self.fleet.remove_worker(&agent);
        }
    }

    fn end_lost_runs_of(&mut self, agents: &[Name], now: Now, actions: &mut Vec<PlannerAction>) {
        let lost: Vec<Name> = self
            .runs
            .iter()
            .filter(|(_, run)| agents.binary_search(&run.agent).is_ok())
            .map(|(job, _)| job.clone())
            .collect();
        for job in lost {
            self.end_lost_run(&job, &Name::default(), now, actions);
        }
    }

    pub(super) fn end_lost_run(
        &mut self,
        job: &Name,
        checkpoint: &Name,
        now: Now,
        actions: &mut Vec<PlannerAction>,
    ) {
        self.observe_end(job, crate::placement::RunOutcome::Lost, now, actions);
        let transition = Transition::Lost { checkpoint: checkpoint.clone() };
        if self.apply_transition(job, transition, now).is_ok() {
            self.counters.lost_runs += 1;
        }
    }
}
