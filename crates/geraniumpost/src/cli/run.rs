use std::io::Write as _;
use std::process::ExitCode;

use clap::ArgMatches;
use eyre::Result;
use geraniumpost_batch::Feature;
use geraniumpost_config::{Report, load_agent, load_entry};

use super::{CommandOutput, ExitStatus, Roles, check, command, execute};

/// Parses the command line, runs the command, prints its output and returns the exit code.
pub fn run(roles: Roles) -> ExitCode {
    let matches = command().get_matches();
    let output = match matches.subcommand() {
        Some(("entry", args)) => role(args, load_entry, roles.entry),
        Some(("agent", args)) => role(args, load_agent, roles.agent),
        Some(("job-entry", args)) => {
            let enabled = args.get_many::<Feature>("enable").unwrap_or_default();
            to_output((roles.job_entry)(enabled.copied().collect()))
        }
        Some(("job-agent", _)) => to_output((roles.job_agent)()),
        _ => operator(&matches),
    };
    // Ignores errors, because a closed pipe, as with `| head`, is not a failure of the command.
    let _ = std::io::stdout().write_all(output.out.as_bytes());
    let _ = std::io::stderr().write_all(output.err.as_bytes());
    output.status.into()
}

/// Loads the settings of a role and runs it, or only checks them with `--check`.
fn role<T>(
    args: &ArgMatches,
    load: fn(&std::path::Path) -> Result<T, Report>,
    run: fn(T) -> Result<()>,
) -> CommandOutput {
    let path = args.get_one::<String>("settings").map(String::as_str).unwrap_or_default();
    let settings = match load(path.as_ref()) {
        Ok(settings) => settings,
        Err(report) => return check::rejected(&report, args.get_flag("json")),
    };
    if args.get_flag("check") {
        return check::accepted(path, args.get_flag("json"));
    }
    to_output(run(settings))
}

fn to_output(result: Result<()>) -> CommandOutput {
    match result {
        Ok(()) => CommandOutput::success(""),
        Err(error) => CommandOutput::failure(ExitStatus::Refused, format!("error: {error:#}\n")),
    }
}

fn operator(matches: &ArgMatches) -> CommandOutput {
    match tokio::runtime::Builder::new_current_thread().enable_all().build() {
        Ok(runtime) => runtime.block_on(execute(matches)),
        Err(error) => CommandOutput::failure(ExitStatus::Refused, format!("error: {error}\n")),
    }
}
