//! The `geraniumpost` binary, which runs every role and the operators' commands.

use std::process::ExitCode;

use geraniumpost::cli::{Roles, run};
use geraniumpost::{agent, batch, entry};

fn main() -> ExitCode {
    run(Roles {
        entry: entry::run,
        agent: agent::run,
        job_entry: batch::run_entry,
        job_agent: batch::run_agent,
    })
}
