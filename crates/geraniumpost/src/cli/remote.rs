//! Calls from commands to an entry.

use std::net::SocketAddr;
use std::time::Duration;

use clap::ArgMatches;
use http::Method;
use serde_json::Value;

use super::{CommandOutput, ExitStatus, text};
use crate::client::{ApiClient, ApiReply};

/// Environment variable with the console address of an entry.
const ENTRY_VARIABLE: &str = "GERANIUMPOST_ENTRY";
/// Environment variable with the operator's token.
const TOKEN_VARIABLE: &str = "GERANIUMPOST_TOKEN";

/// Creates a client from a command's arguments, with the operator's token.
pub(super) fn client(args: &ArgMatches) -> Result<ApiClient, CommandOutput> {
    let token = token(args)?;
    client_with(args, &token)
}

/// Creates a client from a command's arguments, with the given token.
pub(super) fn client_with(args: &ArgMatches, token: &str) -> Result<ApiClient, CommandOutput> {
    let seconds = args.get_one::<u64>("timeout-s").copied().unwrap_or(20);
    Ok(ApiClient::new(entry(args)?, token).timeout(Duration::from_secs(seconds)))
}

/// Makes a call and returns the body of the answer. A refusal is an `Err` with the entry's message.
pub(super) async fn call(
    client: &ApiClient,
    method: Method,
    path: &str,
    body: Vec<u8>,
    as_json: bool,
) -> Result<Value, CommandOutput> {
    let answer = client.call(method, path, body).await;
    let unreachable =
        |e: crate::client::Unreachable| failure(ExitStatus::Unreachable, &format!("{e}"));
    let reply = answer.map_err(unreachable)?;
    if reply.is_success() { Ok(reply.body) } else { Err(refused(&reply, as_json)) }
}

/// Reads a file given on the command line.
pub(super) fn read(path: &str) -> Result<String, CommandOutput> {
    let unreadable = |e| failure(ExitStatus::Usage, &format!("cannot read {path}: {e}"));
    std::fs::read_to_string(path).map_err(unreadable)
}

/// Returns the result of a failed command with one line on standard error.
pub(super) fn failure(status: ExitStatus, message: &str) -> CommandOutput {
    CommandOutput::failure(status, format!("error: {message}\n"))
}

fn refused(reply: &ApiReply, as_json: bool) -> CommandOutput {
    let status = ExitStatus::of_code(reply.body["code"].as_u64().unwrap_or_default());
    if as_json {
        return CommandOutput { status, out: format!("{}\n", reply.body), err: String::new() };
    }
    CommandOutput::failure(status, text::error(reply.status, &reply.body))
}

fn entry(args: &ArgMatches) -> Result<SocketAddr, CommandOutput> {
    let given =
        args.get_one::<String>("entry").cloned().or_else(|| std::env::var(ENTRY_VARIABLE).ok());
    let Some(given) = given else {
        let message = format!("no entry given: use --entry IP:PORT or set {ENTRY_VARIABLE}");
        return Err(failure(ExitStatus::Usage, &message));
    };
    let invalid = |_| {
        failure(
            ExitStatus::Usage,
            &format!("invalid entry address `{given}`: use IP:PORT in --entry or {ENTRY_VARIABLE}"),
        )
    };
    given.parse().map_err(invalid)
}

/// Returns the operator's token. It cannot be given as an argument, because arguments are visible
/// in the list of processes.
fn token(args: &ArgMatches) -> Result<String, CommandOutput> {
    if let Some(path) = args.get_one::<String>("token-file") {
        return read(path).map(|text| text.trim().to_owned());
    }
    let missing = |_| {
        let message = format!("no token given: use --token-file FILE or set {TOKEN_VARIABLE}");
        failure(ExitStatus::Usage, &message)
    };
    std::env::var(TOKEN_VARIABLE).map_err(missing)
}
