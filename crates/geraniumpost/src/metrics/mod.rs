//! Metrics that an operator reads at `/metrics`; the list is in `docs/METRICS.md`.

mod description;
mod instruments;
mod serve;

pub use description::{DESCRIPTIONS, Description, Kind};
pub use instruments::Metrics;
pub use serve::serve_metrics;
