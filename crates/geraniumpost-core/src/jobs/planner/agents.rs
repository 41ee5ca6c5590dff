//! What agents announce, and the holds they are granted.

use geraniumpost_schema::{AgentState, Heartbeat, Name, ToAgent};

use super::{Planner, PlannerAction, Wanted};
use crate::{
    Millis,
    jobs::{LeaseRole, Now, Transition},
    placement::{WorkerState, WorkerView},
};

impl Planner {
    /// Takes in a heartbeat and returns the term and hold to answer with, both 0 for no hold.
    ///
    /// `hold_ms` is at least what the answer grants, see
    /// [`PlannerLease::longest_agent_lease_ms`](crate::jobs::PlannerLease::longest_agent_lease_ms). The hold is counted here from the answer and at the agent from the heartbeat, which is earlier,
    /// so that the agent always stops first.
    pub fn heartbeat(
        &mut self,
        heartbeat: &Heartbeat,
        hold_ms: u64,
        standing: LeaseRole,
        now: Millis,
    ) -> (u64, u64) {
        if self.stepped_down || !standing.may_grant_leases() || !heartbeat.has_worker {
            return (0, 0);
        }
        self.describe(heartbeat, now);
        let Some(view) = self.agents.get_mut(&heartbeat.agent) else { return (0, 0) };
        view.hold_until = view.hold_until.max(now.plus(hold_ms));
        (self.term, hold_ms)
    }

    /// Shows placement what the agent says of its VM.
    fn describe(&mut self, heartbeat: &Heartbeat, now: Millis) {
        let agent = &heartbeat.agent;
        let new = !self.agents.contains_key(agent);
        let view = self.agents.entry(agent.clone()).or_default();
        if new {
            view.shown = WorkerState::Lost;
        }
        let drains = heartbeat.state == AgentState::Draining;
        let leaves = drains && !view.draining;
        let shown = view.shown;
        let reserve = self.reserves.get(&heartbeat.service).copied().unwrap_or_default();
        let mut worker = WorkerView::new(
            agent.clone(),
            heartbeat.domain.clone(),
            heartbeat.rack.clone(),
            heartbeat.capacity,
        )
        .reserve(reserve)
        .state(shown);
        if !heartbeat.service.is_empty() {
            worker = worker.service(heartbeat.service.clone());
        }
        if self.fleet.worker(agent).is_none_or(|old| old.allowance() != worker.allowance()) {
            let tasks = self.tasks_of(agent, now);
            self.fleet.put_worker(worker.tasks(tasks));
        }
        let busy = heartbeat.load.in_flight.saturating_mul(1000) / heartbeat.slots.max(1);
        self.fleet.set_load(agent, busy, heartbeat.load.p99_us);
        if leaves {
            self.on_leaving(agent, Now { clock: now, ..Now::default() });
        }
    }

    pub(super) fn on_link_up(
        &mut self,
        agent: &Name,
        incarnation: u64,
        moment: Now,
        actions: &mut Vec<PlannerAction>,
    ) {
        let view = self.agents.entry(agent.clone()).or_default();
        if view.link != Some(incarnation) {
            view.draining = false;
        }
        view.link = Some(incarnation);
        view.inventoried = false;
        view.asked = moment.clock;
        self.send_supersede(agent, actions);
    }

    pub(super) fn on_link_down(&mut self, agent: &Name, incarnation: u64) {
        let Some(view) = self.agents.get_mut(agent) else { return };
        if view.link == Some(incarnation) {
            view.link = None;
            view.inventoried = false;
        }
    }

    /// Moves what can be moved off a VM that leaves.
    pub(super) fn on_leaving(&mut self, agent: &Name, _moment: Now) {
        let Some(view) = self.agents.get_mut(agent) else { return };
        view.draining = true;
        let moving: Vec<Name> = self
            .runs
            .iter()
            .filter(|(_, run)| run.agent == *agent && run.wanted == Wanted::Run)
            .map(|(job, _)| job.clone())
            .collect();
        for job in moving {
            self.want_evicted(&job);
        }
    }

    /// Asks for the eviction of a run, if its class allows that.
    pub(super) fn want_evicted(&mut self, job: &Name) -> bool {
        let class = self.record(job).map(|record| record.spec().class.clone());
        let evictable =
            class.and_then(|class| self.classes.get(&class)).is_none_or(|class| class.evictable);
        let Some(run) = self.runs.get_mut(job) else { return false };
        if !evictable || run.wanted != Wanted::Run {
            return false;
        }
        run.wanted = Wanted::Evict;
        run.last_order = None;
        self.restless.insert(job.clone());
        true
    }

    /// Asks again for an inventory whose request or answer was lost.
    pub(super) fn ask_inventories(&mut self, now: Millis, actions: &mut Vec<PlannerAction>) {
        let resend_ms = self.config.resend_ms;
        let mut due = Vec::new();
        for (agent, view) in &mut self.agents {
            let waits = view.link.is_some() && !view.inventoried;
            if waits && now.since(view.asked) >= resend_ms {
                view.asked = now;
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

    /// Lets placement see which workers may be given work.
    pub(super) fn show_workers(&mut self, now: Millis) {
        for (agent, view) in &mut self.agents {
            let state = view.worker_state(now);
            if state != view.shown && self.fleet.set_state(agent, state) {
                view.shown = state;
            }
        }
    }

    /// Returns when every run on an agent has surely ended, whatever became of the agent.
    ///
    /// The agent stops renewing when its last hold ends, by then at the latest; a renewal already
    /// under way may extend a worker's lease once more, and that lease then has to run out. The
    /// clocks of the VMs may also run at slightly different speeds.
    fn surely_lapsed_at(&self, agent: &Name, now: Millis) -> Millis {
        let granted = self.agents.get(agent).map_or(Millis(0), |view| view.hold_until);
        let held = granted.max(self.predecessors.hold_until());
        let lease = 2 * self.config.worker_lease_ms;
        let drift = held.since(now) / 100 + lease / 100 + self.config.drift_margin_ms;
        held.plus(lease + drift)
    }

    /// Gives back the jobs of agents whose runs have surely ended.
    pub(super) fn lose_lapsed(&mut self, moment: Now, actions: &mut Vec<PlannerAction>) {
        let now = moment.clock;
        let mut lapsed = Vec::new();
        let mut gone = Vec::new();
        for (agent, view) in &self.agents {
            let at = self.surely_lapsed_at(agent, now);
            if now >= at {
                lapsed.push(agent.clone());
            }
            if view.link.is_none() && now >= at.plus(self.config.forget_agent_ms) {
                gone.push(agent.clone());
            }
        }
        if !lapsed.is_empty() {
            self.lose_runs_of(&lapsed, moment, actions);
        }
        for agent in gone {
            self.agents.remove(&agent);
            self.fleet.remove_worker(&agent);
        }
    }

    fn lose_runs_of(&mut self, agents: &[Name], moment: Now, actions: &mut Vec<PlannerAction>) {
        let lost: Vec<Name> = self
            .runs
            .iter()
            .filter(|(_, run)| agents.binary_search(&run.agent).is_ok())
            .map(|(job, _)| job.clone())
            .collect();
        for job in lost {
            self.lose(&job, &Name::default(), moment, actions);
        }
    }

    pub(super) fn lose(
        &mut self,
        job: &Name,
        checkpoint: &Name,
        moment: Now,
        actions: &mut Vec<PlannerAction>,
    ) {
        self.observe_end(job, crate::placement::RunOutcome::Lost, moment, actions);
        let step = Transition::Lost { checkpoint: checkpoint.clone() };
        if self.change(job, step, moment).is_ok() {
            self.counters.lost_runs += 1;
        }
    }
}
