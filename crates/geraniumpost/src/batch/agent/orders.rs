//! Forwards orders to the minion.

use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;

use geraniumpost_batch::{Order, OrderKind, OrderKindTag, OrderOutcome, OrderResult};

use super::super::BootClock;
use super::state::State;

/// Timeout of one order. A minion responds within about a millisecond; on a busy VM the agent may
/// need some tens of milliseconds more.
const ORDER_TIMEOUT: Duration = Duration::from_millis(700);

/// State of the agent at the arrival of an order, which determines whether and how the order is
/// forwarded.
///
/// The state is read before any later message of the link is handled. The coordinator may have sent
/// the order, then concluded that the minion's tasks have ended, and then granted a new lease. If
/// the order were forwarded under the new lease, a task would run twice.
#[derive(Debug, Clone, Copy)]
struct OrderContext {
    fence: u64,
    /// As returned by [`State::lease_end_on_minion_clock_ms`].
    lease_end_on_minion_clock_ms: Option<u64>,
    /// As returned by [`State::last_minion_clock_ms`].
    minion_clock_ms: u64,
    draining: bool,
}

impl OrderContext {
    fn read(state: &State, order: &Order) -> Self {
        Self {
            fence: state.fence.load(Ordering::SeqCst),
            lease_end_on_minion_clock_ms: state.lease_end_on_minion_clock_ms(),
            minion_clock_ms: state.last_minion_clock_ms(),
            draining: state.current_minion().is_some_and(|p| p.id == order.minion && p.draining),
        }
    }
}

/// Forwards one order, and reports the outcome to the coordinator. The [`OrderContext`] is read
/// before this function returns, not when the returned future runs.
pub fn execute_order(state: Arc<State>, order: Order) -> impl Future<Output = ()> + Send + use<> {
    let context = OrderContext::read(&state, &order);
    async move {
        let outcome = forward_order(&state, &order, context).await;
        let pace = pace_after_start(&order).filter(|_| outcome == OrderOutcome::Done);
        report_outcome(&state, order, outcome);
        if let Some(pace) = pace {
            set_first_pace(&state, pace, context).await;
        }
    }
}

/// Returns the order for the pace that a start order carries.
fn pace_after_start(order: &Order) -> Option<Order> {
    let OrderKind::Start { pace_percent: Some(percent), .. } = order.kind else { return None };
    Some(Order { kind: OrderKind::Pace { percent }, ..order.clone() })
}

/// Sets the pace of a run that has just started, without waiting for the coordinator: until its
/// pace is set, the run slows serving tasks at full speed. The result of the start was reported
/// already. Only a failure is reported, so that the coordinator repeats the pace.
async fn set_first_pace(state: &State, pace: Order, context: OrderContext) {
    let outcome = forward_order(state, &pace, context).await;
    if outcome != OrderOutcome::Done {
        report_outcome(state, pace, outcome);
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
        state.record_replaced(&order.minion, None);
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

/// Returns whether an order must not be sent to the minion any more. The order may have been delayed
/// on its way, and the coordinator cannot revoke it.
fn is_expired(order: &Order) -> bool {
    let OrderKind::Start { expires_ms: Some(expires_ms), .. } = order.kind else { return false };
    BootClock.now_ms() >= expires_ms
}

async fn forward_order(state: &State, order: &Order, context: OrderContext) -> OrderOutcome {
    let is_start = OrderKindTag::from(&order.kind) == OrderKindTag::Start;
    if state.is_restart_known(&order.minion) {
        // The order would reach the later process, which must not carry it out.
        let is_restarted = state.is_restarted(&order.minion);
        return if is_restarted { OrderOutcome::MinionTerminated } else { OrderOutcome::NotSent };
    }
    if is_start && (context.draining || is_expired(order)) {
        return OrderOutcome::NotSent;
    }
    let lease_end_ms = match context.lease_end_on_minion_clock_ms {
        Some(lease_end_ms) => lease_end_ms,
        // If a task started without a lease, the coordinator would consider it ended while it runs.
        None if is_start => return OrderOutcome::NotSent,
        None => 0,
    };
    let floor_ms = context.minion_clock_ms;
    let outcome =
        state.minion.send_order(order, context.fence, lease_end_ms, floor_ms, ORDER_TIMEOUT).await;
    // The response may be from a process that has started meanwhile under the same id. What the
    // addressed process did is then unknown, and so is whether the later one carries out the order.
    if outcome != OrderOutcome::Superseded && state.is_restart_known(&order.minion) {
        return OrderOutcome::NoResponse;
    }
    // The order may be from an earlier coordinator, and the minion may have refused it because a
    // poll for the current coordinator arrived first. `Superseded` would make the current
    // coordinator end its term. `NotSent` is reported instead, because the order had no effect.
    let is_outdated = context.fence < state.fence.load(Ordering::SeqCst);
    if outcome == OrderOutcome::Superseded && is_outdated { OrderOutcome::NotSent } else { outcome }
}
