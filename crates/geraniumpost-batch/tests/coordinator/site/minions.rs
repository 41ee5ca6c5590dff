//! Minions that start, end, run tasks, and end them when their lease has lapsed.

use geraniumpost_batch::{EndKind, Order, OrderKind, OrderOutcome};
use geraniumpost_schema::Name;

use super::Site;
use super::incarnation::Incarnation;
use super::tasks::demand;

impl Site {
    /// Returns what the tasks on a machine take.
    pub(super) fn used(&self, at: usize) -> i64 {
        let id = self.machines[at].minion.as_ref().map(|minion| &minion.id);
        let runs = id.and_then(|id| self.world.running.get(id));
        runs.map_or(0, |runs| runs.keys().copied().map(demand).sum())
    }

    /// Ends a minion with all it runs. Returns which incarnation that was.
    pub(super) fn end_minion(&mut self, at: usize) -> Option<Name> {
        let minion = self.machines[at].minion.take()?;
        self.world.running.remove(&minion.id);
        self.trace(&format!("minion {} is gone", minion.id));
        Some(minion.id)
    }

    /// Starts another incarnation, unless a minion lives.
    pub(super) fn reborn(&mut self, at: usize) {
        let machine = &mut self.machines[at];
        if machine.minion.is_none() {
            machine.lives += 1;
            machine.minion = Some(Incarnation::new(&format!("{}-{}", machine.name, machine.lives)));
        }
    }

    /// A minion ends what it holds no longer.
    pub(super) fn lapse(&mut self, at: usize) {
        let now_ms = self.world.now.steady_ms;
        let Some(minion) = &mut self.machines[at].minion else { return };
        if minion.hold_ms == 0 || minion.hold_ms > now_ms {
            return;
        }
        minion.hold_ms = 0;
        let id = minion.id.clone();
        let runs = self.world.running.get(&id).cloned().unwrap_or_default();
        minion.barred.extend(&runs);
        for task in runs.into_keys() {
            self.world.end(&id, task, EndKind::LeaseExpired);
            self.trace(&format!("{task} lapses at {id}"));
        }
    }

    /// A minion carries an order out, if it is the one that the order means.
    pub(super) fn obey(&mut self, order: &Order) -> OrderOutcome {
        let at = self.machine_of(&order.minion);
        let Some(at) = at.filter(|at| self.machines[*at].lives(&order.minion)) else {
            return OrderOutcome::MinionTerminated;
        };
        match order.kind {
            OrderKind::Start { .. } => self.start(at, order),
            OrderKind::Stop => self.stop(at, order),
            OrderKind::Pace { .. } => OrderOutcome::Done,
        }
    }

    fn start(&mut self, at: usize, order: &Order) -> OrderOutcome {
        let (used, now_ms) = (self.used(at), self.world.now.steady_ms);
        let machine = &mut self.machines[at];
        let Some(minion) = &mut machine.minion else { return OrderOutcome::MinionTerminated };
        let runs = self.world.running.entry(order.minion.clone()).or_default();
        if minion.is_over(order.task, order.run) {
            return OrderOutcome::RunIsOver;
        }
        if runs.contains_key(&order.task) {
            return OrderOutcome::Done;
        }
        if used + demand(order.task) > machine.milli_cpus {
            return OrderOutcome::NoCapacity;
        }
        if machine.lease_ms <= now_ms {
            return OrderOutcome::TooLate;
        }
        minion.hold_ms = minion.hold_ms.max(machine.lease_ms);
        runs.insert(order.task, order.run);
        OrderOutcome::Done
    }

    fn stop(&mut self, at: usize, order: &Order) -> OrderOutcome {
        let Some(minion) = &mut self.machines[at].minion else {
            return OrderOutcome::MinionTerminated;
        };
        let barred = minion.barred.entry(order.task).or_default();
        *barred = order.run.max(*barred);
        let runs = self.world.running.get(&order.minion);
        let run = runs.and_then(|runs| runs.get(&order.task));
        if run.is_some_and(|run| *run <= order.run) {
            self.world.end(&order.minion, order.task, EndKind::Stopped);
            self.look(at);
        }
        OrderOutcome::Done
    }
}
