use clap::ArgMatches;

use super::{CommandOutput, ExitStatus, check, config_commands, job_commands, state_commands};

/// Executes an operator's command.
pub async fn execute(matches: &ArgMatches) -> CommandOutput {
    let result = match matches.subcommand() {
        Some(("check", args)) => Ok(check::check(args)),
        Some(("config", args)) => config_commands::execute(args).await,
        Some(("job", args)) => job_commands::execute(args).await,
        Some(("status", args)) => state_commands::status(args).await,
        Some(("explain", args)) => state_commands::explain(args).await,
        _ => Err(CommandOutput::failure(ExitStatus::Usage, "error: unknown command\n")),
    };
    result.unwrap_or_else(|failed| failed)
}
