use geraniumpost_core::jobs::{LeaseEvent, PlannerEvent};

/// Outcome of a store call.
#[derive(Debug)]
pub(super) enum StoreAnswer {
    /// Outcome of a call of the planner lease.
    Lease(LeaseEvent),
    /// Outcome of a call of the planner in this term. Planners of later terms ignore it.
    Planner(u64, PlannerEvent),
}
