//! Rules that hold between the keys of a settings file.

use std::collections::HashMap;
use std::net::SocketAddr;

use serde_json::Value;

use crate::lines::joined;
use crate::translate::not_an_address;
use crate::{Code, Problem};

/// Addresses of an entry; those told to other processes are marked.
const ENTRY_ADDRESSES: [(&str, bool); 4] =
    [("callers", false), ("console", true), ("datagrams", true), ("store", true)];

/// Addresses of an agent; those told to other processes are marked.
const AGENT_ADDRESSES: [(&str, bool); 5] =
    [("listen", true), ("announce", true), ("minion", true), ("worker", true), ("metrics", false)];

/// Checks the settings of an entry.
pub(crate) fn entry(settings: &Value) -> Vec<Problem> {
    let mut problems = addresses(settings, &ENTRY_ADDRESSES, "peers");
    // TCP and UDP ports are apart, but one number for two purposes only misleads the reader.
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
    problems.extend(lonely_minion(settings));
    if settings.get("minion").is_none()
        && settings.get("worker").is_none()
        && settings.get("service").is_none()
    {
        problems.push(Problem::new(Code::NoMinionOrWorker, ""));
    }
    problems.extend(worker_capacity(settings));
    problems
}

fn lonely_minion(settings: &Value) -> Option<Problem> {
    let (lonely, missing) = match (settings.get("service"), settings.get("minion")) {
        (Some(_), None) => ("service", "minion"),
        (None, Some(_)) => ("minion", "service"),
        _ => return None,
    };
    let message = format!("`{lonely}` is set without `{missing}`.");
    let advice = format!("Add `{missing}` or remove `{lonely}`.");
    Some(Problem::new(Code::IncompleteMinion, lonely).message(message).advice(advice))
}

/// A worker of no size would accept no task, silently.
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

/// Checks what the schema's pattern cannot: that every address can be read and used.
fn addresses(settings: &Value, keys: &[(&str, bool)], list: &str) -> Vec<Problem> {
    let mut found = Vec::new();
    for (key, told) in keys {
        if let Some(text) = settings[*key].as_str() {
            found.extend(address(key, text, *told));
        }
    }
    let items = settings[list].as_array().into_iter().flatten().enumerate();
    for (index, item) in items {
        if let Some(text) = item.as_str() {
            found.extend(address(&joined(list, &index.to_string()), text, true));
        }
    }
    found
}

/// Checks one address. What does not even look like one is the schema's to report.
fn address(path: &str, text: &str, told: bool) -> Option<Problem> {
    let Ok(address) = text.parse::<SocketAddr>() else {
        return looks_right(text).then(|| not_an_address(path, text));
    };
    if address.port() == 0 {
        let message = format!("`{text}` has port 0, which nobody can connect to.");
        return Some(Problem::new(Code::UnusableAddress, path).message(message));
    }
    if told && address.ip().is_unspecified() {
        let message =
            format!("`{text}` means every address of the VM; others cannot connect to it.");
        return Some(Problem::new(Code::UnusableAddress, path).message(message));
    }
    None
}

/// Returns whether the schema's pattern accepts the text although it is no address, as in
/// `300.1.1.1:80` or a port of 70000.
fn looks_right(text: &str) -> bool {
    let Some((host, port)) = text.rsplit_once(':') else { return false };
    let digits = (1..=5).contains(&port.len()) && port.bytes().all(|byte| byte.is_ascii_digit());
    let four = host.split('.').count() == 4
        && host.split('.').all(|part| {
            (1..=3).contains(&part.len()) && part.bytes().all(|byte| byte.is_ascii_digit())
        });
    let six = host.strip_prefix('[').and_then(|rest| rest.strip_suffix(']')).is_some_and(|ip| {
        !ip.is_empty() && ip.bytes().all(|byte| byte.is_ascii_hexdigit() || byte == b':')
    });
    digits && (four || six)
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
