//! Rules that hold between the keys of a settings file.

use std::collections::HashMap;
use std::net::SocketAddr;

use serde_json::Value;

use crate::lines::join_path;
use crate::translate::not_an_address;
use crate::{Code, Problem};

/// Address keys of an entry, and whether the address is a destination of connections or datagrams.
/// Only the others, on which the entry just listens, may be unspecified, such as `0.0.0.0`.
const ENTRY_ADDRESSES: [(&str, bool); 4] =
    [("callers", false), ("console", true), ("datagrams", true), ("store", true)];

/// Address keys of an agent, and whether the address is a destination of connections or datagrams.
const AGENT_ADDRESSES: [(&str, bool); 5] =
    [("listen", true), ("announce", true), ("minion", true), ("worker", true), ("metrics", false)];

/// Checks the settings of an entry.
pub(crate) fn entry(settings: &Value) -> Vec<Problem> {
    let mut problems = addresses(settings, &ENTRY_ADDRESSES, "peers");
    // TCP and UDP ports are separate, but one port number for two purposes is confusing.
    problems.extend(duplicates(settings, &["callers", "console", "datagrams", "store"]));
    let own = settings["datagrams"].as_str();
    let peers = settings["peers"].as_array().into_iter().flatten().enumerate();
    for (index, peer) in peers {
        if own.is_some() && peer.as_str() == own {
            problems.push(Problem::new(Code::PeerIsSelf, format!("peers.{index}")));
        }
    }
    problems
}

/// Checks the settings of an agent.
pub(crate) fn agent(settings: &Value) -> Vec<Problem> {
    let mut problems = addresses(settings, &AGENT_ADDRESSES, "entries");
    problems.extend(duplicates(settings, &["listen", "minion", "worker", "metrics"]));
    problems.extend(incomplete_minion(settings));
    if settings.get("minion").is_none()
        && settings.get("worker").is_none()
        && settings.get("service").is_none()
    {
        problems.push(Problem::new(Code::NoMinionOrWorker, ""));
    }
    problems.extend(worker_capacity(settings));
    problems
}

fn incomplete_minion(settings: &Value) -> Option<Problem> {
    let (present, missing) = match (settings.get("service"), settings.get("minion")) {
        (Some(_), None) => ("service", "minion"),
        (None, Some(_)) => ("minion", "service"),
        _ => return None,
    };
    let message = format!("`{present}` is set without `{missing}`.");
    let advice = format!("Add `{missing}` or remove `{present}`.");
    Some(Problem::new(Code::IncompleteMinion, present).message(message).advice(advice))
}

/// Checks that the settings of a worker state its capacity. Without one it would silently accept no
/// task.
fn worker_capacity(settings: &Value) -> Vec<Problem> {
    if settings.get("worker").is_none() {
        return Vec::new();
    }
    let zero = |key: &&str| settings.get(*key).is_none_or(|value| value.as_u64() == Some(0));
    let keys = ["milli_cpus", "memory_mb"].into_iter().filter(zero);
    keys.map(|key| {
        let advice = format!("Set `{key}` to the size of the VM.");
        Problem::new(Code::WorkerWithoutCapacity, key).advice(advice)
    })
    .collect()
}

/// Checks that every address can be parsed and used, which the schema's pattern cannot express.
fn addresses(settings: &Value, keys: &[(&str, bool)], list: &str) -> Vec<Problem> {
    let mut found = Vec::new();
    for (key, is_destination) in keys {
        if let Some(text) = settings[*key].as_str() {
            found.extend(address(key, text, *is_destination));
        }
    }
    let items = settings[list].as_array().into_iter().flatten().enumerate();
    for (index, item) in items {
        if let Some(text) = item.as_str() {
            found.extend(address(&join_path(list, &index.to_string()), text, true));
        }
    }
    found
}

/// Checks one address. Texts that do not match the pattern are left to the schema.
fn address(path: &str, text: &str, is_destination: bool) -> Option<Problem> {
    let Ok(address) = text.parse::<SocketAddr>() else {
        return matches_pattern(text).then(|| not_an_address(path, text));
    };
    if address.port() == 0 {
        let message = format!("`{text}` has port 0, which nobody can connect to.");
        return Some(Problem::new(Code::UnusableAddress, path).message(message));
    }
    if is_destination && address.ip().is_unspecified() {
        let message =
            format!("`{text}` means every address of the VM; others cannot connect to it.");
        return Some(Problem::new(Code::UnusableAddress, path).message(message));
    }
    None
}

/// Returns whether the text matches the pattern of the schema. Some texts that match are invalid
/// addresses, for example `300.1.1.1:80` or a port of 70000.
fn matches_pattern(text: &str) -> bool {
    let Some((host, port)) = text.rsplit_once(':') else { return false };
    let digits = (1..=5).contains(&port.len()) && port.bytes().all(|byte| byte.is_ascii_digit());
    let ipv4 = host.split('.').count() == 4
        && host.split('.').all(|part| {
            (1..=3).contains(&part.len()) && part.bytes().all(|byte| byte.is_ascii_digit())
        });
    let ipv6 = host.strip_prefix('[').and_then(|rest| rest.strip_suffix(']')).is_some_and(|ip| {
        !ip.is_empty() && ip.bytes().all(|byte| byte.is_ascii_hexdigit() || byte == b':')
    });
    digits && (ipv4 || ipv6)
}

fn duplicates(settings: &Value, keys: &[&str]) -> Vec<Problem> {
    let mut first: HashMap<SocketAddr, &str> = HashMap::new();
    let mut problems = Vec::new();
    for key in keys {
        let text = settings[*key].as_str().unwrap_or_default();
        let Ok(address) = text.parse::<SocketAddr>() else { continue };
        if let Some(other) = first.insert(address, key) {
            let message = format!("`{key}` and `{other}` both name {address}.");
            problems.push(Problem::new(Code::DuplicateAddress, *key).message(message));
        }
    }
    problems
}
