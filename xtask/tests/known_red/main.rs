//! Tests of the list of known failures: which failures it tolerates and, above all, which it must
//! not.

mod fixtures;
mod list;
mod plan;
mod runner;
mod runs;
mod support;
mod test_args;
mod verdict;
