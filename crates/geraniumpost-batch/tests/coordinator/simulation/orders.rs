//! Orders on their way from the coordinator by agents to minions, and their results.

use geraniumpost_batch::{Order, OrderOutcome, OrderVerb};

use super::Simulation;

/// How late an order is carried out that is under way for long, in milliseconds.
pub(super) const ORDER_DELAY_MS: u64 = 2_500;
/// Time that an agent gives an order, in milliseconds.
const ORDER_TIMEOUT_MS: u64 = 700;

/// Orders that have no result yet.
#[derive(Debug, Default)]
pub(super) struct OrdersInFlight {
    /// Whether orders are late at present.
    pub(super) delay_orders: bool,
    /// Orders that are carried out later, and when.
    delayed: Vec<(u64, Order)>,
    /// Orders whose agents give up on them, and when.
    unanswered: Vec<(u64, Order)>,
}

/// Takes the first order out whose time has come.
fn take_due(orders: &mut Vec<(u64, Order)>, now_ms: u64) -> Option<Order> {
    let next = orders.iter().position(|(at_ms, _)| *at_ms <= now_ms)?;
    Some(orders.remove(next).1)
}

impl Simulation {
    /// Agents pass orders on, and minions carry them out.
    pub(super) fn deliver_orders(&mut self) {
        let now_ms = self.cluster.now.steady_ms;
        while let Some(order) = take_due(&mut self.orders.delayed, now_ms) {
            self.execute_order(&order);
        }
        while let Some(order) = take_due(&mut self.orders.unanswered, now_ms) {
            self.report_result(&order, OrderOutcome::Unanswered);
        }
        // What is decided on these results is carried out a step later, as after a round trip.
        for order in std::mem::take(&mut self.cluster.orders) {
            self.forward_order(order);
        }
    }

    /// An agent passes an order on; one that it does not hear of is lost.
    fn forward_order(&mut self, order: Order) {
        let now_ms = self.cluster.now.steady_ms;
        let Some(at) = self.machine_of(&order.minion).filter(|at| self.can_reach_coordinator(*at))
        else {
            return;
        };
        let machine = &self.machines[at];
        if self.withholds(at, &order) {
            self.report_result(&order, OrderOutcome::NotSent);
        } else if self.orders.delay_orders {
            self.orders.delayed.push((now_ms + ORDER_DELAY_MS, order.clone()));
            self.orders.unanswered.push((now_ms + ORDER_TIMEOUT_MS, order));
        } else if machine.minion.is_none() {
            self.orders.unanswered.push((now_ms + ORDER_TIMEOUT_MS, order));
        } else if machine.hosts(&order.minion) {
            let outcome = self.execute_order(&order);
            self.report_result(&order, outcome);
        } else {
            self.detect_departure(at, &order.minion);
            self.report_result(&order, OrderOutcome::Gone);
        }
    }

    /// Returns whether an agent does not send an order: it starts nothing on a minion that drains, or
    /// without a lease.
    fn withholds(&self, at: usize, order: &Order) -> bool {
        let machine = &self.machines[at];
        let starts = OrderVerb::from(&order.kind) == OrderVerb::Start;
        let draining =
            machine.known_minion.as_ref() == Some(&order.minion) && machine.reported_draining;
        starts && (draining || machine.lease_until_ms <= self.cluster.now.steady_ms)
    }

    /// An agent tells an order's result, if it can.
    fn report_result(&mut self, order: &Order, outcome: OrderOutcome) {
        if self.machine_of(&order.minion).is_some_and(|at| self.can_reach_coordinator(at)) {
            self.cluster.report_result(order, OrderVerb::from(&order.kind), outcome);
        }
    }
}
