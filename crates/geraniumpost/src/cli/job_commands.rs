//! `geraniumpost job submit|status|cancel|list`.

use clap::ArgMatches;
use geraniumpost_schema::Name;
use serde_json::Value;

use super::{CommandOutput, ExitStatus, remote, text};
use crate::console::{JobCall, JobRequest};

pub(super) async fn execute(args: &ArgMatches) -> Result<CommandOutput, CommandOutput> {
    match args.subcommand() {
        Some(("submit", args)) => show(args, submission(args), text::table_of).await,
        Some(("status", args)) => {
            show(args, JobCall::Status { id: id(args) }, text::table_of).await
        }
        Some(("cancel", args)) => {
            show(args, JobCall::Cancel { id: id(args) }, text::table_of).await
        }
        Some(("list", args)) => show(args, JobCall::List, text::jobs).await,
        _ => Err(remote::failure(ExitStatus::Usage, "unknown command")),
    }
}

/// Makes the call and returns its answer as text or JSON.
pub(super) async fn show(
    args: &ArgMatches,
    call: JobCall,
    as_text: fn(&Value) -> String,
) -> Result<CommandOutput, CommandOutput> {
    let client = remote::client(args)?;
    let json = args.get_flag("json");
    let (method, path, body) = call.as_http();
    let answer = remote::call(&client, method, &path, body, json).await?;
    let shown = if json { format!("{answer}\n") } else { as_text(&answer) };
    Ok(CommandOutput::success(shown))
}

pub(super) fn id(args: &ArgMatches) -> Name {
    Name::from(argument(args, "job"))
}

fn submission(args: &ArgMatches) -> JobCall {
    let amount = |name| args.get_one::<u64>(name).copied().unwrap_or_default();
    let job = JobRequest {
        customer: Name::from(argument(args, "customer")),
        class: Name::from(argument(args, "class")),
        milli_cpus: amount("milli-cpus"),
        memory_mb: amount("memory-mb"),
        accelerators: u32::try_from(amount("accelerators")).unwrap_or(u32::MAX),
        command: argument(args, "command").to_owned(),
    };
    JobCall::Submit { id: id(args), job }
}

fn argument<'a>(args: &'a ArgMatches, name: &str) -> &'a str {
    args.get_one::<String>(name).map(String::as_str).unwrap_or_default()
}
