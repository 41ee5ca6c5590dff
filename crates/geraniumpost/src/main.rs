//! The one shipped binary.

use std::process::ExitCode;

use geraniumpost::cli::{Roles, run};
use geraniumpost::{agent, entry};

fn main() -> ExitCode {
    run(Roles { entry: entry::run, agent: agent::run })
}
