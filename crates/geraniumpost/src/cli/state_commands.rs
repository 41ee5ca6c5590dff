//! `geraniumpost status` and `geraniumpost explain`.

use clap::ArgMatches;
use http::Method;
use serde_json::json;

use super::{CommandOutput, job_commands, remote, text};
use crate::console::JobCall;

/// Returns the state of an entry, and the revision in force on each process that it knows.
pub(super) async fn status(args: &ArgMatches) -> Result<CommandOutput, CommandOutput> {
    let client = remote::client(args)?;
    let json = args.get_flag("json");
    let status = remote::call(&client, Method::GET, "/api/status", Vec::new(), json).await?;
    let in_force = remote::call(&client, Method::GET, "/api/in-force", Vec::new(), json).await?;
    if json {
        let both = json!({ "status": status, "in_force": in_force });
        return Ok(CommandOutput::success(format!("{both}\n")));
    }
    Ok(CommandOutput::success(text::status(&status, &in_force)))
}

pub(super) async fn explain(args: &ArgMatches) -> Result<CommandOutput, CommandOutput> {
    job_commands::show(args, JobCall::Explain { id: job_commands::id(args) }, text::table_of).await
}
