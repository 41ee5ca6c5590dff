//! Decisions on jobs.
