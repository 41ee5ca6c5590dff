//! Forwards orders to the minion.

use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;

use geraniumpost_batch::{Order, OrderKindTag, OrderOutcome, OrderResult};

use super::state::State;

/// Timeout of one order. A minion answers in about a millisecond; a busy agent takes some tens.
const ORDER_TIMEOUT: Duration = Duration::from_millis(700);

/// Fencing token and lease under which an order is forwarded.
///
/// They are read when the order arrives, before any later message of the link is handled. If the
/// task that forwards the order read them later, an order that was sent before the coordinator
/// assumed the minion's work to have ended could use the lease granted afterwards, and the work
/// would run twice.
#[derive(Debug, Clone, Copy)]
struct OrderContext {
    fence: u64,
    /// End of the lease on the minion's clock; `None` if it has expired.
    lease_end: Option<u64>,
    draining: bool,
}

impl OrderContext {
    fn read(state: &State, order: &Order) -> Self {
        Self {
            fence: state.fence.load(Ordering::SeqCst),
            lease_end: state.lease_end(),
            draining: state.current_minion().is_some_and(|p| p.id == order.minion && p.draining),
        }
    }
}

/// Forwards one order, and reports its outcome to the coordinator. The context is read at once, not
/// when the returned future runs.
pub fn execute(state: Arc<State>, order: Order) -> impl Future<Output = ()> + Send + use<> {
    let context = OrderContext::read(&state, &order);
    async move {
        let outcome = forward(&state, &order, context).await;
        report(&state, order, outcome);
    }
}

fn report(state: &State, order: Order, outcome: OrderOutcome) {
    if outcome != OrderOutcome::Done {
        spdlog::info!(
            "decision=order_failed task={} run={} verb={} minion={} why=\"{outcome}\"",
            order.task,
            order.run,
            OrderKindTag::from(&order.kind),
            order.minion
        );
    }
    if outcome == OrderOutcome::MinionTerminated {
        state.record_replaced(&order.minion);
    }
    state.send_result(OrderResult {
        minion: order.minion,
        task: order.task,
        run: order.run,
        kind_tag: OrderKindTag::from(&order.kind),
        outcome,
        results_reported: 0,
    });
}

async fn forward(state: &State, order: &Order, context: OrderContext) -> OrderOutcome {
    let is_start = OrderKindTag::from(&order.kind) == OrderKindTag::Start;
    if is_start && context.draining {
        return OrderOutcome::NotSent;
    }
    let lease_end = match context.lease_end {
        Some(lease_end) => lease_end,
        // A task that starts without a lease would count as ended while it runs.
        None if is_start => return OrderOutcome::NotSent,
        None => 0,
    };
    let outcome = state.minion.order(order, context.fence, lease_end, ORDER_TIMEOUT).await;
    // A poll for the present coordinator has overtaken this order of an earlier one. Reported as
    // `Superseded`, it would make the present coordinator end its term; the order had no effect, so
    // `NotSent` is reported.
    let is_outdated = context.fence < state.fence.load(Ordering::SeqCst);
    if outcome == OrderOutcome::Superseded && is_outdated { OrderOutcome::NotSent } else { outcome }
}
