use geraniumpost_core::jobs::{JobState, Planner};
use geraniumpost_core::placement::{WorkerView, amounts};
use geraniumpost_schema::Document;
use serde_json::{Map, Value, json};

use crate::console::state_name;

/// Returns the state of the planner for the console and `geraniumpost status`: jobs, counters,
/// shares of the customers and workers.
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

/// Returns the allocated resources of each customer, and its dominant share divided by its weight.
/// Jobs of the customer with the lowest weighted share are placed first.
fn customers(planner: &Planner, document: &Document) -> Map<String, Value> {
    let offered = planner.fleet().workers().map(WorkerView::allowance);
    let total = offered.fold(amounts::NONE, |sum, one| amounts::plus(&sum, &one));
    let values = document.customers.iter().map(|(name, customer)| {
        let allocated = planner.fleet().allocated_to(name);
        let share = amounts::dominant_share(&allocated, &total);
        let weighted = share / f64::from(customer.weight.max(1));
        let value = json!({
            "weight": customer.weight,
            "held": allocated,
            "dominant_share": round(share),
            "weighted_share": round(weighted),
        });
        (name.to_string(), value)
    });
    values.collect()
}

fn worker(view: &WorkerView) -> Value {
    json!({
        "name": view.name(),
        "allowance": view.allowance(),
        "free": view.free(),
        "tasks": view.all_tasks().len(),
    })
}

/// Rounds a share to four decimal places for display.
fn round(share: f64) -> f64 {
    let share = if share.is_finite() { share } else { 0.0 };
    (share * 10_000.0).round() / 10_000.0
}
