//! Start and termination of minions, execution of orders, and expiry of leases.

use geraniumpost_batch::{EndKind, Order, OrderKind, OrderOutcome};
use geraniumpost_schema::Name;

use super::Simulation;
use super::incarnation::Incarnation;
use super::workload::task_milli_cpus;

impl Simulation {
    /// Returns the capacity that the tasks on a machine use, in thousandths of a processor.
    pub(super) fn used_milli_cpus(&self, at: usize) -> i64 {
        let id = self.machines[at].minion.as_ref().map(|minion| &minion.id);
        let runs = id.and_then(|id| self.cluster.running.get(id));
        runs.map_or(0, |runs| runs.keys().copied().map(task_milli_cpus).sum())
    }

    /// Terminates a minion with all its runs. Returns the id of the incarnation that was running.
    pub(super) fn terminate_minion(&mut self, at: usize) -> Option<Name> {
        let minion = self.machines[at].minion.take()?;
        self.cluster.running.remove(&minion.id);
        self.trace(&format!("minion {} has terminated", minion.id));
        Some(minion.id)
    }

    /// Starts a new incarnation, unless one is running.
    pub(super) fn restart_minion(&mut self, at: usize) {
        let machine = &mut self.machines[at];
        if machine.minion.is_none() {
            machine.incarnations += 1;
            machine.minion =
                Some(Incarnation::new(&format!("{}-{}", machine.name, machine.incarnations)));
        }
    }

    /// Ends all runs of a minion if its lease has expired.
    pub(super) fn expire_minion_lease(&mut self, at: usize) {
        let now_ms = self.cluster.now.steady_ms;
        let Some(minion) = &mut self.machines[at].minion else { return };
        if minion.lease_until_ms == 0 || minion.lease_until_ms > now_ms {
            return;
        }
        minion.lease_until_ms = 0;
        let id = minion.id.clone();
        let runs = self.cluster.running.get(&id).cloned().unwrap_or_default();
        minion.ended_runs.extend(&runs);
        for task in runs.into_keys() {
            self.cluster.end_run(&id, task, EndKind::LeaseExpired);
            self.trace(&format!("lease of {task} on {id} has expired"));
        }
    }

    /// Carries out an order. Returns `OrderOutcome::MinionTerminated` if the incarnation to which
    /// the order is addressed is not running.
    pub(super) fn execute_order(&mut self, order: &Order) -> OrderOutcome {
        let at = self.machine_of(&order.minion);
        let Some(at) = at.filter(|at| self.machines[*at].hosts(&order.minion)) else {
            return OrderOutcome::MinionTerminated;
        };
        match order.kind {
            OrderKind::Start { .. } => self.start_task(at, order),
            OrderKind::Stop => self.stop_task(at, order),
            OrderKind::Pace { .. } => OrderOutcome::Done,
        }
    }

    fn start_task(&mut self, at: usize, order: &Order) -> OrderOutcome {
        let (used, now_ms) = (self.used_milli_cpus(at), self.cluster.now.steady_ms);
        let machine = &mut self.machines[at];
        let Some(minion) = &mut machine.minion else { return OrderOutcome::MinionTerminated };
        let runs = self.cluster.running.entry(order.minion.clone()).or_default();
        if minion.has_ended(order.task, order.run) {
            return OrderOutcome::RunIsOver;
        }
        if runs.contains_key(&order.task) {
            return OrderOutcome::Done;
        }
        if used + task_milli_cpus(order.task) > machine.milli_cpus {
            return OrderOutcome::NoCapacity;
        }
        if machine.lease_until_ms <= now_ms {
            return OrderOutcome::TooLate;
        }
        minion.lease_until_ms = minion.lease_until_ms.max(machine.lease_until_ms);
        runs.insert(order.task, order.run);
        OrderOutcome::Done
    }

    fn stop_task(&mut self, at: usize, order: &Order) -> OrderOutcome {
        let Some(minion) = &mut self.machines[at].minion else {
            return OrderOutcome::MinionTerminated;
        };
        let ended_runs = minion.ended_runs.entry(order.task).or_default();
        *ended_runs = order.run.max(*ended_runs);
        let runs = self.cluster.running.get(&order.minion);
        let run = runs.and_then(|runs| runs.get(&order.task));
        if run.is_some_and(|run| *run <= order.run) {
            self.cluster.end_run(&order.minion, order.task, EndKind::Stopped);
            self.poll_minion(at);
        }
        OrderOutcome::Done
    }
}
