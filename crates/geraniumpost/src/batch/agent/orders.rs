//! Orders on their way to the minion.

use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;

use geraniumpost_batch::{Order, OrderOutcome, OrderResult, OrderVerb};

use super::state::State;

/// Longest time an order may take; a minion answers in about a millisecond, a busy agent needs
/// some tens.
const TIMEOUT: Duration = Duration::from_millis(700);

/// What an order is given under.
///
/// It is read as the order comes, before anything else that the link brings. Were it read later, by the
/// task that passes the order on, an order that the coordinator gave before it took the minion's work for
/// ended could leave under the lease that it granted afterwards, and the work would run twice.
#[derive(Debug, Clone, Copy)]
struct Terms {
    fence: u64,
    /// End of the lease on the minion's clock, if it lies ahead.
    hold_until: Option<u64>,
    draining: bool,
}

impl Terms {
    fn read(state: &State, order: &Order) -> Self {
        Self {
            fence: state.fence.load(Ordering::SeqCst),
            hold_until: state.hold_until(),
            draining: state.present().is_some_and(|p| p.id == order.minion && p.draining),
        }
    }
}

/// Passes one order on, and tells the coordinator what became of it.
pub fn carry_out(state: Arc<State>, order: Order) -> impl Future<Output = ()> + Send + use<> {
    let terms = Terms::read(&state, &order);
    async move {
        let outcome = pass_on(&state, &order, terms).await;
        tell(&state, order, outcome);
    }
}

fn tell(state: &State, order: Order, outcome: OrderOutcome) {
    if outcome != OrderOutcome::Done {
        spdlog::info!(
            "decision=order_failed task={} run={} verb={} minion={} why=\"{outcome}\"",
            order.task,
            order.run,
            OrderVerb::from(&order.kind),
            order.minion
        );
    }
    if outcome == OrderOutcome::MinionTerminated {
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

async fn pass_on(state: &State, order: &Order, terms: Terms) -> OrderOutcome {
    let starts = OrderVerb::from(&order.kind) == OrderVerb::Start;
    if starts && terms.draining {
        return OrderOutcome::NotSent;
    }
    let hold_until = match terms.hold_until {
        Some(hold_until) => hold_until,
        // Whatever began now would be taken for ended while it runs.
        None if starts => return OrderOutcome::NotSent,
        None => 0,
    };
    let outcome = state.minion.order(order, terms.fence, hold_until, TIMEOUT).await;
    // The order of an earlier coordinator was overtaken by a look for the present one. That one would take
    // itself for replaced, and end its term; but nothing was done, which is all that there is to tell.
    let overtaken = terms.fence < state.fence.load(Ordering::SeqCst);
    if outcome == OrderOutcome::Superseded && overtaken { OrderOutcome::NotSent } else { outcome }
}
