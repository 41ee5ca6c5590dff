//! Decides whether new jobs are accepted, without I/O.
//!
//! See docs/design/0702-admission.md.

mod commit_health;

pub use commit_health::CommitHealth;
