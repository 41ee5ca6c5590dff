//! Decisions on placement.
