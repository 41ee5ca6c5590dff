//! Tests of the list of known failures: what it passes over, and above all what it must not.

mod list;
mod plan;
mod runner;
mod runs;
mod support;
mod verdict;
mod victims;
mod words;
