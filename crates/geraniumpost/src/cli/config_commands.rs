//! `geraniumpost config get|set|check`.

use std::time::{Duration, Instant};

use clap::ArgMatches;
use geraniumpost_config::load_entry;
use http::Method;
use serde_json::{Value, json};

use super::{ExitStatus, Finished, check, remote, text};
use crate::client::ApiClient;
use crate::console::bootstrap_token;

/// Pause between two looks at what is in force.
const WAIT_STEP: Duration = Duration::from_millis(200);

pub(super) async fn execute(args: &ArgMatches) -> Result<Finished, Finished> {
    match args.subcommand() {
        Some(("get", args)) => get(args).await,
        Some(("set", args)) => set(args).await,
        Some(("check", args)) => check_remote(args).await,
        _ => Err(remote::failure(ExitStatus::Usage, "no such command")),
    }
}

/// Prints the document with its revision, so that `set` of the edited text knows what it changes.
async fn get(args: &ArgMatches) -> Result<Finished, Finished> {
    let client = remote::client(args)?;
    let json = args.get_flag("json");
    let config = remote::call(&client, Method::GET, "/api/config", Vec::new(), json).await?;
    let shown = if json { config.to_string() } else { format!("{config:#}") };
    Ok(Finished::success(format!("{shown}\n")))
}

async fn set(args: &ArgMatches) -> Result<Finished, Finished> {
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
                let hint = format!("repeat with --change-id {change_id}; it is not made twice\n");
                failed.err += &hint;
            }
            Err(failed)
        }
    }
}

/// Tells of an accepted change, after waiting for it to be in force if that was asked for.
async fn accepted(args: &ArgMatches, done: &Value) -> Result<Finished, Finished> {
    let json = args.get_flag("json");
    let (revision, change_id) = (text::plain(&done["revision"]), text::plain(&done["change_id"]));
    let mut out = format!("accepted as revision {revision}, change {change_id}\n");
    if json {
        out = format!("{done}\n");
    }
    let Some(seconds) = args.get_one::<u64>("wait-s").copied() else {
        return Ok(Finished::success(out));
    };
    let behind = match wait(args, done["revision"].as_u64().unwrap_or_default(), seconds).await {
        Ok(behind) => behind,
        // The change is accepted all the same, and the operator must still learn that.
        Err(failed) => return Err(Finished { out: out + &failed.out, ..failed }),
    };
    if behind.is_empty() {
        let end = if json { "" } else { "in force on every known process\n" };
        return Ok(Finished::success(out + end));
    }
    let err = format!("error: not in force after {seconds} s on {}\n", behind.join(", "));
    Ok(Finished { status: ExitStatus::Refused, out, err })
}

/// Waits for a revision and returns the names of the processes that do not have it in the end.
async fn wait(args: &ArgMatches, revision: u64, seconds: u64) -> Result<Vec<String>, Finished> {
    let client = remote::client(args)?;
    let until = Instant::now() + Duration::from_secs(seconds);
    loop {
        let path = "/api/in-force";
        let known = remote::call(&client, Method::GET, path, Vec::new(), false).await?;
        let behind = text::behind(&known, revision);
        if behind.is_empty() || Instant::now() >= until {
            return Ok(behind);
        }
        tokio::time::sleep(WAIT_STEP).await;
    }
}

fn set_client(args: &ArgMatches) -> Result<ApiClient, Finished> {
    let Some(path) = args.get_one::<String>("first") else { return remote::client(args) };
    let settings = load_entry(path.as_ref());
    let settings = settings.map_err(|report| check::refused(&report, args.get_flag("json")))?;
    remote::client_with(args, &bootstrap_token(&settings.shared_key))
}

/// Reads the document and the revision that it changes.
fn read_change(args: &ArgMatches) -> Result<(u64, Value), Finished> {
    let path = args.get_one::<String>("file").map(String::as_str).unwrap_or_default();
    let text = remote::read(path)?;
    let parsed = serde_json::from_str::<Value>(&text);
    let unreadable = |e| remote::failure(ExitStatus::Refused, &format!("{path}: {e}"));
    let mut value: Value = parsed.map_err(unreadable)?;
    let named = value["revision"].as_u64();
    let document = if value.get("document").is_some() { value["document"].take() } else { value };
    let given = args.get_one::<u64>("revision").copied().or(named);
    let first = args.contains_id("first").then_some(0);
    let Some(revision) = given.or(first) else {
        let message =
            format!("{path} names no revision: edit what `config get` prints, or give --revision");
        return Err(remote::failure(ExitStatus::Usage, &message));
    };
    Ok((revision, document))
}

async fn check_remote(args: &ArgMatches) -> Result<Finished, Finished> {
    let client = remote::client(args)?;
    let json = args.get_flag("json");
    let path = args.get_one::<String>("file").map(String::as_str).unwrap_or_default();
    let text = remote::read(path)?;
    let parsed = serde_json::from_str::<Value>(&text).ok();
    let inner = parsed.and_then(|mut value| value.get_mut("document").map(Value::take));
    let body = inner.map_or(text, |document| document.to_string()).into_bytes();
    remote::call(&client, Method::POST, "/api/config/check", body, json).await?;
    let shown = if json { json!({ "problems": [] }).to_string() } else { format!("{path}: ok") };
    Ok(Finished::success(format!("{shown}\n")))
}
