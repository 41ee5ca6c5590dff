//! How many tasks of each serving step best-effort tasks disturb at the same time, over all minions.
//!
//! The users of a serving job feel the sum of what happens on all its minions. Each minion alone may
//! look tolerable while a large part of one job is slow. [`DisturbanceLedger`] counts the disturbed
//! tasks by step and compares the counts with [`disturbance_budget`]; [`PaceRamp`] says in which
//! steps a best-effort image gains speed beside serving tasks. docs/design/0704-disturbance-budget.md
//! has the reasons.

mod budget;
mod disturbance_counts;
mod ledger;
mod pace_ramp;
mod status;
mod trial;

pub use budget::disturbance_budget;
pub use disturbance_counts::DisturbanceCounts;
pub use ledger::{BudgetChange, DisturbanceLedger};
pub use pace_ramp::PaceRamp;
pub use status::DisturbanceStatus;
pub use trial::Trial;
