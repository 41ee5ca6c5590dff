use geraniumpost_core::jobs::{LeaseEvent, PlannerEvent};

/// Outcome of a store call.
#[derive(Debug)]
pub(super) enum StoreAnswer {
    /// For the lease.
    Lease(LeaseEvent),
    /// For the planner of this term; a later one must not take it for its own.
    Planner(u64, PlannerEvent),
}
