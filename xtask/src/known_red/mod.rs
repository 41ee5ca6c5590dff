//! Runs the tests and passes over the failures that `KNOWN-RED.txt` names, and over no others.
//!
//! A test that fails for a real fault which nobody can mend at once would otherwise have to be
//! weakened or left out to keep the verdict on a commit usable. Listed tests go on being run and
//! their outcome is printed each time, so that nobody forgets them.
//!
//! Cargo starts each test binary through this program, which it takes for a runner. A binary
//! without listed tests is started as it is. Otherwise its other tests run first and decide the
//! exit code as usual; then each listed test runs in a process of its own, and the exit code of
//! that process tells a failed test from a crash. Reading the printed output of one common run
//! was ruled out, because a test can print lines that look like those of the test library, and a
//! crash leaves the rest of the output out. So cargo's exit code stays the verdict, everything is
//! compiled once, and a listed test cannot disturb its neighbours. The price is that a listed test
//! runs alone, without the words that follow `--` on the command line: one that fails only beside
//! others is reported as passed. Tests in doc comments cannot be listed.

mod entry;
mod list;
mod list_error;
mod outcome;
mod plan;
mod plan_error;
mod runner;
mod runs;
mod session;
mod target;
mod test_binary;
mod test_id;
mod verdict;
mod words;

pub use entry::Entry;
pub use list::{FILE, parse};
pub use list_error::ListError;
pub use outcome::Outcome;
pub use plan::Plan;
pub use plan_error::PlanError;
pub use runner::{RUNNER, run_binary};
pub use runs::{Runs, listed_names};
pub use session::test;
pub use target::Target;
pub use test_binary::TestBinary;
pub use test_id::TestId;
pub use verdict::Verdict;
pub use words::Words;
