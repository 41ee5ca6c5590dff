//! Calls to an entry and what becomes of them.

use std::net::SocketAddr;
use std::time::Duration;

use clap::ArgMatches;
use http::Method;
use serde_json::Value;

use super::{ExitStatus, Finished, text};
use crate::client::{ApiClient, ApiReply};

/// Environment variable that names an entry.
const ENTRY: &str = "GERANIUMPOST_ENTRY";
/// Environment variable that holds the token.
const TOKEN: &str = "GERANIUMPOST_TOKEN";

/// Creates the client that a command's arguments describe, with the operator's own token.
pub(super) fn client(args: &ArgMatches) -> Result<ApiClient, Finished> {
    let token = token(args)?;
    client_with(args, &token)
}

/// Creates the client that a command's arguments describe, with another token.
pub(super) fn client_with(args: &ArgMatches, token: &str) -> Result<ApiClient, Finished> {
    let seconds = args.get_one::<u64>("timeout-s").copied().unwrap_or(20);
    Ok(ApiClient::new(entry(args)?, token).timeout(Duration::from_secs(seconds)))
}

/// Makes a call; a refusal ends the command with what the entry says.
pub(super) async fn call(
    client: &ApiClient,
    method: Method,
    path: &str,
    body: Vec<u8>,
    as_json: bool,
) -> Result<Value, Finished> {
    let answer = client.call(method, path, body).await;
    let unreachable =
        |e: crate::client::Unreachable| failure(ExitStatus::Unreachable, &format!("{e}"));
    let reply = answer.map_err(unreachable)?;
    if reply.is_success() { Ok(reply.body) } else { Err(refused(&reply, as_json)) }
}

/// Reads a file of the operator's.
pub(super) fn read(path: &str) -> Result<String, Finished> {
    let unreadable = |e| failure(ExitStatus::Usage, &format!("{path}: {e}"));
    std::fs::read_to_string(path).map_err(unreadable)
}

/// Ends a command with one line on standard error.
pub(super) fn failure(status: ExitStatus, message: &str) -> Finished {
    Finished::failure(status, format!("error: {message}\n"))
}

fn refused(reply: &ApiReply, as_json: bool) -> Finished {
    let status = ExitStatus::of_code(reply.body["code"].as_u64().unwrap_or_default());
    if as_json {
        return Finished { status, out: format!("{}\n", reply.body), err: String::new() };
    }
    Finished::failure(status, text::error(reply.status, &reply.body))
}

fn entry(args: &ArgMatches) -> Result<SocketAddr, Finished> {
    let given = args.get_one::<String>("entry").cloned().or_else(|| std::env::var(ENTRY).ok());
    let Some(given) = given else {
        let message = format!("no entry: give --entry IP:port or set {ENTRY}");
        return Err(failure(ExitStatus::Usage, &message));
    };
    let wrong = |_| failure(ExitStatus::Usage, &format!("--entry {given}: write IP:port"));
    given.parse().map_err(wrong)
}

/// A token on the command line would show in the list of processes, so there is no such argument.
fn token(args: &ArgMatches) -> Result<String, Finished> {
    if let Some(path) = args.get_one::<String>("token-file") {
        return read(path).map(|text| text.trim().to_owned());
    }
    let missing = |_| {
        let message = format!("no token: give --token-file FILE or set {TOKEN}");
        failure(ExitStatus::Usage, &message)
    };
    std::env::var(TOKEN).map_err(missing)
}
