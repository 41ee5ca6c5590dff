//! `geraniumpost config get|set|check`.

use std::time::{Duration, Instant};

use clap::ArgMatches;
use geraniumpost_config::load_entry;
use http::Method;
use serde_json::{Value, json};

use super::{CommandOutput, ExitStatus, check, remote, text};
use crate::client::ApiClient;
use crate::console::bootstrap_token;

/// Interval at which `--wait-s` polls the revisions in force.
const POLL_INTERVAL: Duration = Duration::from_millis(200);

pub(super) async fn execute(args: &ArgMatches) -> Result<CommandOutput, CommandOutput> {
    match args.subcommand() {
        Some(("get", args)) => get(args).await,
        Some(("set", args)) => set(args).await,
        Some(("check", args)) => check_remote(args).await,
        _ => Err(remote::failure(ExitStatus::Usage, "unknown command")),
    }
}

/// Prints the document with its revision, from which `set` knows the revision to change.
async fn get(args: &ArgMatches) -> Result<CommandOutput, CommandOutput> {
    let client = remote::client(args)?;
    let json = args.get_flag("json");
    let config = remote::call(&client, Method::GET, "/api/config", Vec::new(), json).await?;
    let shown = if json { config.to_string() } else { format!("{config:#}") };
    Ok(CommandOutput::success(format!("{shown}\n")))
}

async fn set(args: &ArgMatches) -> Result<CommandOutput, CommandOutput> {
    let json = args.get_flag("json");
    let (revision, document) = read_change(args)?;
    let change_id = args.get_one::<String>("change-id").cloned();
    let change_id = change_id.unwrap_or_else(|| format!("{:016x}", rand::random::<u64>()));
    let client = set_client(args)?
        .header("if-match", format!("\"{revision}\""))
        .header("x-change-id", &change_id);
    let body = document.to_string().into_bytes();
    match remote::call(&client, Method::PUT, "/api/config", body, json).await {
        Ok(done) => accepted(args, &done).await,
        Err(mut failed) => {
            if failed.status == ExitStatus::Unreachable {
                let hint = format!(
                    "repeat the call with --change-id {change_id}; the change is made at most once\n"
                );
                failed.err += &hint;
            }
            Err(failed)
        }
    }
}

/// Reports an accepted change. With `--wait-s`, waits first until it is in force.
async fn accepted(args: &ArgMatches, done: &Value) -> Result<CommandOutput, CommandOutput> {
    let json = args.get_flag("json");
    let (revision, change_id) = (text::render(&done["revision"]), text::render(&done["change_id"]));
    let mut out = format!("accepted as revision {revision}, change {change_id}\n");
    if json {
        out = format!("{done}\n");
    }
    let Some(seconds) = args.get_one::<u64>("wait-s").copied() else {
        return Ok(CommandOutput::success(out));
    };
    let outdated = match wait(args, done["revision"].as_u64().unwrap_or_default(), seconds).await {
        Ok(outdated) => outdated,
        // The change was accepted nevertheless, which the operator must learn.
        Err(failed) => return Err(CommandOutput { out: out + &failed.out, ..failed }),
    };
    if outdated.is_empty() {
        let end = if json { "" } else { "in force on every known process\n" };
        return Ok(CommandOutput::success(out + end));
    }
    let err = format!("error: not in force after {seconds} s on {}\n", outdated.join(", "));
    Ok(CommandOutput { status: ExitStatus::Refused, out, err })
}

/// Waits until a revision is in force on all known processes, for at most `seconds`. Returns the
/// names of the processes that have a lower revision in force at the end.
async fn wait(
    args: &ArgMatches,
    revision: u64,
    seconds: u64,
) -> Result<Vec<String>, CommandOutput> {
    let client = remote::client(args)?;
    let until = Instant::now() + Duration::from_secs(seconds);
    loop {
        let path = "/api/in-force";
        let known = remote::call(&client, Method::GET, path, Vec::new(), false).await?;
        let outdated = text::outdated_processes(&known, revision);
        if outdated.is_empty() || Instant::now() >= until {
            return Ok(outdated);
        }
        tokio::time::sleep(POLL_INTERVAL).await;
    }
}

fn set_client(args: &ArgMatches) -> Result<ApiClient, CommandOutput> {
    let Some(path) = args.get_one::<String>("first") else { return remote::client(args) };
    let settings = load_entry(path.as_ref());
    let settings = settings.map_err(|report| check::rejected(&report, args.get_flag("json")))?;
    remote::client_with(args, &bootstrap_token(&settings.shared_key))
}

/// Reads the document from the file, and the revision to change from the file or the arguments.
fn read_change(args: &ArgMatches) -> Result<(u64, Value), CommandOutput> {
    let path = args.get_one::<String>("file").map(String::as_str).unwrap_or_default();
    let text = remote::read(path)?;
    let parsed = serde_json::from_str::<Value>(&text);
    let invalid =
        |e| remote::failure(ExitStatus::Refused, &format!("{path} is not valid JSON: {e}"));
    let mut value: Value = parsed.map_err(invalid)?;
    let in_file = value["revision"].as_u64();
    let document = if value.get("document").is_some() { value["document"].take() } else { value };
    let given = args.get_one::<u64>("revision").copied().or(in_file);
    let first = args.contains_id("first").then_some(0);
    let Some(revision) = given.or(first) else {
        let message = format!(
            "{path} contains no revision; edit the output of `config get` or give --revision"
        );
        return Err(remote::failure(ExitStatus::Usage, &message));
    };
    Ok((revision, document))
}

async fn check_remote(args: &ArgMatches) -> Result<CommandOutput, CommandOutput> {
    let client = remote::client(args)?;
    let json = args.get_flag("json");
    let path = args.get_one::<String>("file").map(String::as_str).unwrap_or_default();
    let text = remote::read(path)?;
    let parsed = serde_json::from_str::<Value>(&text).ok();
    let inner = parsed.and_then(|mut value| value.get_mut("document").map(Value::take));
    let body = inner.map_or(text, |document| document.to_string()).into_bytes();
    remote::call(&client, Method::POST, "/api/config/check", body, json).await?;
    let shown = if json { json!({ "problems": [] }).to_string() } else { format!("{path}: ok") };
    Ok(CommandOutput::success(format!("{shown}\n")))
}
