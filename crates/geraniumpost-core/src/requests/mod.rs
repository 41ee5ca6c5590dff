//! Decisions on requests.
