//! Orders on their way from the coordinator by agents to minions, and their results.

use geraniumpost_batch::{Order, OrderOutcome, OrderVerb};

use super::Site;

/// How late an order is carried out that is under way for long, in milliseconds.
pub(super) const LATE_MS: u64 = 2_500;
/// Time that an agent gives an order, in milliseconds.
const ORDER_MS: u64 = 700;

/// Orders that have no result yet.
#[derive(Debug, Default)]
pub(super) struct OrdersUnderWay {
    /// Whether orders are late at present.
    pub(super) held_up: bool,
    /// Orders that are carried out later, and when.
    late: Vec<(u64, Order)>,
    /// Orders whose agents give up on them, and when.
    unanswered: Vec<(u64, Order)>,
}

/// Takes the first order out whose time has come.
fn take_due(orders: &mut Vec<(u64, Order)>, now_ms: u64) -> Option<Order> {
    let next = orders.iter().position(|(at_ms, _)| *at_ms <= now_ms)?;
    Some(orders.remove(next).1)
}

impl Site {
    /// Agents pass orders on, and minions carry them out.
    pub(super) fn carry_out(&mut self) {
        let now_ms = self.world.now.steady_ms;
        while let Some(order) = take_due(&mut self.orders.late, now_ms) {
            self.obey(&order);
        }
        while let Some(order) = take_due(&mut self.orders.unanswered, now_ms) {
            self.answer(&order, OrderOutcome::Unanswered);
        }
        // What is decided on these results is carried out a step later, as after a round trip.
        for order in std::mem::take(&mut self.world.orders) {
            self.pass_on(order);
        }
    }

    /// An agent passes an order on; one that it does not hear of is lost.
    fn pass_on(&mut self, order: Order) {
        let now_ms = self.world.now.steady_ms;
        let Some(at) = self.machine_of(&order.minion).filter(|at| self.reaches(*at)) else {
            return;
        };
        let machine = &self.machines[at];
        if self.holds_back(at, &order) {
            self.answer(&order, OrderOutcome::NotSent);
        } else if self.orders.held_up {
            self.orders.late.push((now_ms + LATE_MS, order.clone()));
            self.orders.unanswered.push((now_ms + ORDER_MS, order));
        } else if machine.minion.is_none() {
            self.orders.unanswered.push((now_ms + ORDER_MS, order));
        } else if machine.lives(&order.minion) {
            let outcome = self.obey(&order);
            self.answer(&order, outcome);
        } else {
            self.find_gone(at, &order.minion);
            self.answer(&order, OrderOutcome::MinionTerminated);
        }
    }

    /// Returns whether an agent does not send an order: it starts nothing on a minion that drains, or
    /// without a lease.
    fn holds_back(&self, at: usize, order: &Order) -> bool {
        let machine = &self.machines[at];
        let starts = OrderVerb::from(&order.kind) == OrderVerb::Start;
        let draining = machine.present.as_ref() == Some(&order.minion) && machine.told_draining;
        starts && (draining || machine.lease_ms <= self.world.now.steady_ms)
    }

    /// An agent tells an order's result, if it can.
    fn answer(&mut self, order: &Order, outcome: OrderOutcome) {
        if self.machine_of(&order.minion).is_some_and(|at| self.reaches(at)) {
            self.world.result(order, OrderVerb::from(&order.kind), outcome);
        }
    }
}
