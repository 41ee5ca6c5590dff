//! Division of scarce capacity between queues, and the choice of runs that give way to more urgent
//! work. Pure decisions, without clock or I/O; see docs/design/0703-shares-and-preemption.md.

mod choose_stops;
mod queue_usage;
mod queue_weights;
mod stop_budget;
mod stop_candidate;
mod stop_counts;
mod stop_reason;

pub use choose_stops::choose_stops;
pub use queue_usage::{QueueUsage, dominant_share};
pub use queue_weights::QueueWeights;
pub use stop_budget::StopBudget;
pub use stop_candidate::StopCandidate;
pub use stop_counts::StopCounts;
pub use stop_reason::StopReason;
