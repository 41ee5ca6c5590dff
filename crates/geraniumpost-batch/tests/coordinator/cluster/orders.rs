//! Minions that carry out orders, and runs that end.

use geraniumpost_batch::{
    EndKind, EndedTask, FromAgent, Order, OrderKind, OrderKindTag, OrderOutcome, OrderResult,
    TaskId,
};
use geraniumpost_schema::Name;

use super::Cluster;

impl Cluster {
    /// Lets minions carry out all pending orders.
    pub fn carry_out_orders(&mut self) {
        while !self.orders.is_empty() {
            for order in std::mem::take(&mut self.orders) {
                self.carry_out(order);
            }
        }
    }

    pub fn carry_out(&mut self, order: Order) {
        let runs = self.running.entry(order.minion.clone()).or_default();
        let verb = OrderKindTag::from(&order.kind);
        match &order.kind {
            OrderKind::Start { .. } => {
                self.paces.remove(&order.task);
                runs.insert(order.task, order.run);
            }
            OrderKind::Stop => {
                if runs.get(&order.task) == Some(&order.run) {
                    self.end_run(&order.minion.clone(), order.task, EndKind::Stopped);
                }
            }
            OrderKind::Pace { percent } => {
                self.paces.insert(order.task, *percent);
            }
        }
        self.report_result(&order, verb, OrderOutcome::Done);
    }

    pub fn report_result(&mut self, order: &Order, verb: OrderKindTag, outcome: OrderOutcome) {
        self.last_result_number += 1;
        let result = OrderResult {
            minion: order.minion.clone(),
            task: order.task,
            run: order.run,
            kind_tag: verb,
            outcome,
            results_reported: self.last_result_number,
        };
        let minion = order.minion.clone();
        self.send(&minion, FromAgent::Result(result));
    }

    /// Ends a run in a minion's lists; the coordinator learns of it with the next poll.
    pub fn end_run(&mut self, minion: &Name, task: TaskId, kind: EndKind) {
        let run = self.running.get_mut(minion).and_then(|runs| runs.remove(&task));
        let run = run.expect("the task runs there");
        let ends = self.ended_tasks.entry(minion.clone()).or_default();
        let sequence = ends.len() as u64 + 1;
        ends.push(EndedTask { sequence, task, run, kind, checkpoint: Name::default() });
    }

    /// Ends all runs, and polls all minions.
    pub fn end_all_runs(&mut self, kind: EndKind) {
        for (minion, runs) in self.running.clone() {
            for task in runs.into_keys() {
                self.end_run(&minion, task, kind);
            }
            self.poll(&minion);
        }
    }
}
