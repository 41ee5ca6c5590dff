use geraniumpost_core::jobs::{JobState, Planner};
use geraniumpost_core::placement::{WorkerView, amounts};
use geraniumpost_schema::Document;
use serde_json::{Map, Value, json};

use crate::console::state_name;

/// Shows queue, evictions, customers' shares and workers as placement sees them, for the console and
/// `geraniumpost status`.
pub fn summary(planner: &Planner, document: &Document) -> Value {
    let (waiting, assigned) = planner.queue_lengths();
    let counters = planner.counters();
    json!({
        "term": planner.term(),
        "waiting": waiting,
        "assigned": assigned,
        "states": states(planner),
        "completed": counters.completed,
        "evicted": counters.evicted,
        "failed_runs": counters.failed_runs,
        "lost_runs": counters.lost_runs,
        "late_results": counters.late_results,
        "customers": customers(planner, document),
        "workers": planner.fleet().workers().map(worker).collect::<Vec<_>>(),
    })
}

fn states(planner: &Planner) -> Map<String, Value> {
    let counts = planner.count_by_state();
    let named = JobState::ALL.iter().zip(counts);
    named.map(|(state, count)| (state_name(*state).to_owned(), json!(count))).collect()
}

/// Shows what each customer holds, and its dominant share over its weight, by which the queue is
/// ordered: the lowest goes first.
fn customers(planner: &Planner, document: &Document) -> Map<String, Value> {
    let offered = planner.fleet().workers().map(WorkerView::allowance);
    let total = offered.fold(amounts::NONE, |sum, one| amounts::plus(&sum, &one));
    let shown = document.customers.iter().map(|(name, customer)| {
        let held = planner.fleet().allocated_to(name);
        let share = amounts::dominant_share(&held, &total);
        let weighted = share / f64::from(customer.weight.max(1));
        let value = json!({
            "weight": customer.weight,
            "held": held,
            "dominant_share": round(share),
            "weighted_share": round(weighted),
        });
        (name.to_string(), value)
    });
    shown.collect()
}

fn worker(view: &WorkerView) -> Value {
    json!({
        "name": view.name(),
        "allowance": view.allowance(),
        "free": view.free(),
        "tasks": view.all_tasks().len(),
    })
}

/// Rounds a share to four places, so that the page stays readable.
fn round(share: f64) -> f64 {
    let share = if share.is_finite() { share } else { 0.0 };
    (share * 10_000.0).round() / 10_000.0
}
