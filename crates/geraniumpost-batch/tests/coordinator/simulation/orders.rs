//! Delivery of orders from the coordinator through agents to minions, and their results.

use geraniumpost_batch::{Order, OrderKindTag, OrderOutcome};

use super::Simulation;

/// Time after which an order is carried out while orders are delayed, in milliseconds.
pub(super) const ORDER_DELAY_MS: u64 = 2_500;
/// Time after which an agent reports an order as unanswered, in milliseconds.
const ORDER_TIMEOUT_MS: u64 = 700;

/// Orders that have no result yet.
#[derive(Debug, Default)]
pub(super) struct OrdersInFlight {
    /// Whether new orders are delayed.
    pub(super) delay_orders: bool,
    /// Delayed orders, and the times at which they are carried out.
    delayed: Vec<(u64, Order)>,
    /// Orders that agents will report as unanswered, and the times at which they do.
    unanswered: Vec<(u64, Order)>,
}

/// Removes and returns an order that is due, or returns `None` if no order is.
fn take_due(orders: &mut Vec<(u64, Order)>, now_ms: u64) -> Option<Order> {
    let next = orders.iter().position(|(at_ms, _)| *at_ms <= now_ms)?;
    Some(orders.remove(next).1)
}

impl Simulation {
    /// Carries out due delayed orders, reports due orders as unanswered, and forwards the
    /// coordinator's new orders.
    pub(super) fn deliver_orders(&mut self) {
        let now_ms = self.cluster.now.steady_ms;
        while let Some(order) = take_due(&mut self.orders.delayed, now_ms) {
            self.execute_order(&order);
        }
        while let Some(order) = take_due(&mut self.orders.unanswered, now_ms) {
            self.report_result(&order, OrderOutcome::NoResponse);
        }
        // Orders that the coordinator sends in response are forwarded in the next step, which
        // simulates a round trip.
        for order in std::mem::take(&mut self.cluster.orders) {
            self.forward_order(order);
        }
    }

    /// Forwards an order through the minion's agent. The order is lost if the agent has no link.
    fn forward_order(&mut self, order: Order) {
        let now_ms = self.cluster.now.steady_ms;
        let Some(at) = self.machine_of(&order.minion).filter(|at| self.can_reach_coordinator(*at))
        else {
            return;
        };
        let machine = &self.machines[at];
        if self.is_refused_by_agent(at, &order) {
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
            self.report_result(&order, OrderOutcome::MinionTerminated);
        }
    }

    /// Returns whether an agent refuses an order without sending it to the minion: the agent
    /// forwards no start to a draining minion or without a lease.
    fn is_refused_by_agent(&self, at: usize, order: &Order) -> bool {
        let machine = &self.machines[at];
        let starts = OrderKindTag::from(&order.kind) == OrderKindTag::Start;
        let draining =
            machine.known_minion.as_ref() == Some(&order.minion) && machine.known_draining;
        starts && (draining || machine.lease_until_ms <= self.cluster.now.steady_ms)
    }

    /// Reports the result of an order to the coordinator, if the agent has a link.
    fn report_result(&mut self, order: &Order, outcome: OrderOutcome) {
        if self.machine_of(&order.minion).is_some_and(|at| self.can_reach_coordinator(at)) {
            self.cluster.report_result(order, OrderKindTag::from(&order.kind), outcome);
        }
    }
}
