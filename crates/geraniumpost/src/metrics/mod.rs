//! Metrics of a process, served at `/metrics` and listed in `docs/METRICS.md`.

mod description;
mod instruments;
mod serve;

pub use description::{DESCRIPTIONS, Description, Kind};
pub use instruments::Metrics;
pub use serve::serve_metrics;
