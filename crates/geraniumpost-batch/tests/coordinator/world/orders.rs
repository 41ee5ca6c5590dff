//! Minions that do what they are told, and runs that end.

use geraniumpost_batch::{
    EndKind, EndedTask, FromAgent, Order, OrderKind, OrderOutcome, OrderResult, OrderVerb, TaskId,
};
use geraniumpost_schema::Name;

use super::World;

impl World {
    /// Lets minions carry out the orders that they got.
    pub fn obey(&mut self) {
        while !self.orders.is_empty() {
            for order in std::mem::take(&mut self.orders) {
                self.obey_one(order);
            }
        }
    }

    pub fn obey_one(&mut self, order: Order) {
        let runs = self.running.entry(order.minion.clone()).or_default();
        let verb = OrderVerb::from(&order.kind);
        match &order.kind {
            OrderKind::Start { .. } => {
                self.paces.remove(&order.task);
                runs.insert(order.task, order.run);
            }
            OrderKind::Stop => {
                if runs.get(&order.task) == Some(&order.run) {
                    self.end(&order.minion.clone(), order.task, EndKind::Stopped);
                }
            }
            OrderKind::Pace { percent } => {
                self.paces.insert(order.task, *percent);
            }
        }
        self.result(&order, verb, OrderOutcome::Done);
    }

    pub fn result(&mut self, order: &Order, verb: OrderVerb, outcome: OrderOutcome) {
        self.results += 1;
        let result = OrderResult {
            minion: order.minion.clone(),
            task: order.task,
            run: order.run,
            verb,
            outcome,
            number: self.results,
        };
        let minion = order.minion.clone();
        self.say(&minion, FromAgent::Result(result));
    }

    /// Ends a run in a minion's lists; the coordinator hears of it with the next look.
    pub fn end(&mut self, minion: &Name, task: TaskId, kind: EndKind) {
        let run = self.running.get_mut(minion).and_then(|runs| runs.remove(&task));
        let run = run.expect("the task runs there");
        let ends = self.ends.entry(minion.clone()).or_default();
        let sequence = ends.len() as u64 + 1;
        ends.push(EndedTask { sequence, task, run, kind, checkpoint: Name::default() });
    }

    /// Ends everything that runs, and lets all minions be looked at.
    pub fn end_all(&mut self, kind: EndKind) {
        for (minion, runs) in self.running.clone() {
            for task in runs.into_keys() {
                self.end(&minion, task, kind);
            }
            self.look(&minion);
        }
    }
}
