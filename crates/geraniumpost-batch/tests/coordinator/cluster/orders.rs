//! Execution of orders by minions, and the end of runs.

use geraniumpost_batch::{
    EndKind, EndedTask, FromAgent, Order, OrderKind, OrderKindTag, OrderOutcome, OrderResult,
    TaskId,
};
use geraniumpost_schema::Name;

use super::Cluster;

impl Cluster {
    /// Lets minions carry out all orders, including those that the coordinator sends meanwhile.
    pub fn carry_out_orders(&mut self) {
        while !self.orders.is_empty() {
            for order in std::mem::take(&mut self.orders) {
                self.carry_out(order);
            }
        }
    }

    /// Lets the minion carry out an order, and reports success to the coordinator.
    pub fn carry_out(&mut self, order: Order) {
        let runs = self.running.entry(order.minion.clone()).or_default();
        let kind_tag = OrderKindTag::from(&order.kind);
        match &order.kind {
            OrderKind::Start { pace_percent, .. } => {
                self.paces.remove(&order.task);
                if let Some(percent) = pace_percent.filter(|_| self.agents_know_first_pace) {
                    self.paces.insert(order.task, percent);
                }
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
        self.report_result(&order, kind_tag, OrderOutcome::Done);
    }

    /// Lets minions accept the waiting stops of runs that they do not know, and polls the minions.
    pub fn carry_out_stop_of_unknown_run(&mut self) {
        let stops = self.orders.extract_if(.., |order| order.kind == OrderKind::Stop);
        for stop in stops.collect::<Vec<_>>() {
            self.report_result(&stop, OrderKindTag::Stop, OrderOutcome::RunIsOver);
            self.poll(&stop.minion.clone());
        }
    }

    /// Reports the result of an order to the coordinator, without carrying the order out.
    pub fn report_result(&mut self, order: &Order, kind_tag: OrderKindTag, outcome: OrderOutcome) {
        self.last_result_number += 1;
        let result = OrderResult {
            minion: order.minion.clone(),
            task: order.task,
            run: order.run,
            kind_tag,
            outcome,
            results_reported: self.last_result_number,
        };
        let minion = order.minion.clone();
        self.send(&minion, FromAgent::Result(result));
    }

    /// Moves a run from a minion's list of running tasks to its list of ended tasks, which the
    /// coordinator receives with the next poll.
    pub fn end_run(&mut self, minion: &Name, task: TaskId, kind: EndKind) {
        let run = self.running.get_mut(minion).and_then(|runs| runs.remove(&task));
        let run = run.expect("the task runs there");
        let ends = self.ended_tasks.entry(minion.clone()).or_default();
        let sequence = ends.len() as u64 + 1;
        ends.push(EndedTask { sequence, task, run, kind, checkpoint: Name::default() });
    }

    /// Ends all runs with the same `kind`, and polls the minions.
    pub fn end_all_runs(&mut self, kind: EndKind) {
        for (minion, runs) in self.running.clone() {
            for task in runs.into_keys() {
                self.end_run(&minion, task, kind);
            }
            self.poll(&minion);
        }
    }
}
