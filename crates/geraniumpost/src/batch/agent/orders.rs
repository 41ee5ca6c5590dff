//! Forwards orders to the minion.

use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;

use geraniumpost_batch::{Order, OrderKindTag, OrderOutcome, OrderResult};

use super::state::State;

/// Timeout of one order. A minion responds within about a millisecond; a busy agent adds some tens
/// of milliseconds.
const ORDER_TIMEOUT: Duration = Duration::from_millis(700);

/// Fencing token and end of the lease that are forwarded with an order.
///
/// Both are read when the order arrives, before any later message of the link is handled. The
/// coordinator may have sent the order, then assumed that the minion's tasks have ended, and then
/// granted a new lease. If the order were forwarded under that lease, a task would run twice.
#[derive(Debug, Clone, Copy)]
struct OrderContext {
    fence: u64,
    /// End of the lease in milliseconds on the minion's clock; `None` if it has expired.
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

/// Forwards one order, and reports its outcome to the coordinator. The [`OrderContext`] is read by
/// this call itself, not when the returned future runs.
pub fn execute_order(state: Arc<State>, order: Order) -> impl Future<Output = ()> + Send + use<> {
    let context = OrderContext::read(&state, &order);
    async move {
        let outcome = forward_order(&state, &order, context).await;
        report_outcome(&state, order, outcome);
    }
}

fn report_outcome(state: &State, order: Order, outcome: OrderOutcome) {
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

async fn forward_order(state: &State, order: &Order, context: OrderContext) -> OrderOutcome {
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
    let outcome = state.minion.send_order(order, context.fence, lease_end, ORDER_TIMEOUT).await;
    // A poll for the current coordinator may have overtaken this order of an earlier one, so that
    // the minion refused it. `Superseded` would make the current coordinator end its term; the
    // order had no effect, so `NotSent` is reported.
    let is_outdated = context.fence < state.fence.load(Ordering::SeqCst);
    if outcome == OrderOutcome::Superseded && is_outdated { OrderOutcome::NotSent } else { outcome }
}
