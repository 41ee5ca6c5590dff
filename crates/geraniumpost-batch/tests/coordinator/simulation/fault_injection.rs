//! Scheduling of events, and the effects of their actions on the simulation.

use super::action::Action;
use super::machine::MACHINE_MILLI_CPUS;
use super::{Event, STEP_MS, Simulation};
use crate::cluster::task;

/// Time from a minion's deregistration until its agent records the departure, in milliseconds.
const DEPARTURE_DELAY_MS: u64 = 300;
/// Time after which an agent that was asked to stop is terminated, in milliseconds.
const AGENT_STOP_GRACE_MS: u64 = 5_000;

impl Simulation {
    /// Schedules the actions of `event` at the machine on which checked task `index` ran last, or
    /// at the first machine if it never ran.
    pub(super) fn schedule_event(&mut self, event: Event, index: u32) {
        let now_ms = self.cluster.now.steady_ms;
        let at = self.checker.last_machine(task(1, 0, index)).unwrap_or(0);
        self.trace(&format!("event {event:?} at {}", self.machines[at].name));
        let actions = event.actions().iter();
        self.scheduled_actions
            .extend(actions.map(|(after_ms, action)| (now_ms + after_ms, at, *action)));
        if let Some(lasts_ms) = event.fault_duration_ms() {
            self.checker.add_fault(now_ms, now_ms + lasts_ms);
        }
    }

    /// Applies all due actions, including those that an applied action schedules.
    pub(super) fn run_due_actions(&mut self) {
        let now_ms = self.cluster.now.steady_ms;
        while let Some(next) =
            self.scheduled_actions.iter().position(|(at_ms, _, _)| *at_ms <= now_ms)
        {
            let (_, at, action) = self.scheduled_actions.remove(next);
            self.apply_action(at, action);
        }
    }

    fn apply_action(&mut self, at: usize, action: Action) {
        match action {
            Action::Drain => self.drain(at),
            Action::Deregister => self.deregister(at),
            Action::Crash => drop(self.terminate_minion(at)),
            Action::RestartMinion => self.restart_minion(at),
            Action::Partition => self.machines[at].network_up = false,
            Action::HealPartition => self.restore_network(at),
            Action::StopAgent => self.request_agent_stop(at),
            Action::KillAgent => self.terminate_agent(at),
            Action::StartAgent => self.start_agent(at),
            Action::LoseCoordinator(loss) => self.lose_coordinator(loss),
            Action::EntryResponds(loss_number) => self.succession.mark_responding(loss_number),
            Action::IsolateCoordinator => self.isolate_coordinator(at),
            Action::EndIsolation => self.end_isolation(),
            Action::HoldWrites => self.cluster.confirm_writes = false,
            Action::ResumeWrites => self.resume_writes(),
            Action::StoreDown => self.set_store_available(false),
            Action::StoreUp => self.set_store_available(true),
            Action::DelayOrders(delay) => self.orders.delay_orders = delay,
            Action::LimitOtherMachines(limit) => self.limit_capacity_of_others(at, limit),
        }
    }

    fn drain(&mut self, at: usize) {
        if let Some(minion) = &mut self.machines[at].minion {
            minion.draining = true;
        }
    }

    fn deregister(&mut self, at: usize) {
        let departed_ms = self.cluster.now.steady_ms + DEPARTURE_DELAY_MS;
        let agent_up = self.machines[at].agent_up;
        if let Some(id) = self.terminate_minion(at).filter(|_| agent_up) {
            self.machines[at].departures.record_termination_notice(&id);
            self.machines[at].deregistered = Some((departed_ms, id));
        }
    }

    fn restore_network(&mut self, at: usize) {
        let machine = &mut self.machines[at];
        machine.network_up = true;
        machine.linked = false;
        machine.next_link_ms = self.cluster.now.steady_ms + 200;
    }

    fn request_agent_stop(&mut self, at: usize) {
        self.machines[at].stop_deadline_ms = Some(self.cluster.now.steady_ms + AGENT_STOP_GRACE_MS);
    }

    /// Starts an agent. If the previous process has not stopped yet, tries again in the next step.
    fn start_agent(&mut self, at: usize) {
        let now_ms = self.cluster.now.steady_ms;
        let machine = &mut self.machines[at];
        if machine.stop_deadline_ms.is_some() {
            self.scheduled_actions.push((now_ms + STEP_MS, at, Action::StartAgent));
            return;
        }
        machine.agent_up = true;
        machine.next_link_ms = now_ms + 300;
    }

    /// Confirms writes again, unless the store is unavailable until a later action.
    fn resume_writes(&mut self) {
        if self.cluster.store_confirms {
            self.cluster.confirm_pending_writes();
        }
    }

    fn set_store_available(&mut self, available: bool) {
        self.cluster.store_confirms = available;
        if available {
            self.cluster.confirm_pending_writes();
        } else {
            self.cluster.confirm_writes = false;
        }
    }

    /// Limits the capacity of each machine except `at` to the processors in use on that machine, or
    /// restores the full capacity if `limit` is false.
    fn limit_capacity_of_others(&mut self, at: usize, limit: bool) {
        for other in (0..self.machines.len()).filter(|other| *other != at) {
            let used = self.used_milli_cpus(other);
            self.machines[other].milli_cpus = if limit { used } else { MACHINE_MILLI_CPUS };
        }
    }
}
