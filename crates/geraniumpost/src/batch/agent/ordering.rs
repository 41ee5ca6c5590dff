//! Orders on their way to the minion.

use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;

use geraniumpost_batch::{Order, OrderOutcome, OrderResult, OrderVerb};

use super::state::State;

/// Longest time an order may take; a minion answers in about a millisecond, a busy agent needs
/// some tens.
const TIMEOUT: Duration = Duration::from_millis(700);

/// Passes one order on, and tells the coordinator what became of it.
pub async fn carry_out(state: Arc<State>, order: Order) {
    let outcome = pass_on(&state, &order).await;
    if outcome != OrderOutcome::Done {
        spdlog::info!(
            "decision=order_failed task={} run={} verb={} minion={} why=\"{outcome}\"",
            order.task,
            order.run,
            OrderVerb::from(&order.kind),
            order.minion
        );
    }
    if outcome == OrderOutcome::Gone {
        state.gone(&order.minion);
    }
    state.send_result(OrderResult {
        minion: order.minion,
        task: order.task,
        run: order.run,
        verb: OrderVerb::from(&order.kind),
        outcome,
        number: 0,
    });
}

async fn pass_on(state: &State, order: &Order) -> OrderOutcome {
    let starts = OrderVerb::from(&order.kind) == OrderVerb::Start;
    let draining = state.present().is_some_and(|p| p.id == order.minion && p.draining);
    if starts && draining {
        return OrderOutcome::NotSent;
    }
    let hold_until = match state.hold_until() {
        Some(hold_until) => hold_until,
        // Whatever began now would be taken for ended while it runs.
        None if starts => return OrderOutcome::NotSent,
        None => 0,
    };
    let fence = state.fence.load(Ordering::SeqCst);
    state.minion.order(order, fence, hold_until, TIMEOUT).await
}
