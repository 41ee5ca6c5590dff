//! Rules that hold between the values of the configuration document.

use std::collections::HashMap;

use serde_json::{Map, Value};

use crate::{Code, Problem};

/// More of a resource than any VM has; a larger reserve is a slip of the unit.
const LARGEST_VM: [(&str, u64); 3] =
    [("milli_cpus", 4_096_000), ("memory_mb", 67_108_864), ("accelerators", 1024)];

/// More of a resource than any deployment has; a larger quota is a slip of the unit.
const LARGEST_DEPLOYMENT: [(&str, u64); 4] = [
    ("milli_cpus", 1_000_000_000),
    ("memory_mb", 1_000_000_000),
    ("accelerators", 1_000_000),
    ("jobs", 1_000_000),
];

/// SHA-256 of the empty text, which a forgotten token yields.
const EMPTY_DIGEST: &str = "e3b0c44298fc1c149afbf4c8996fb92427ae41e4649b934ca495991b7852b855";

/// Default of `deadline_ms`, in force where a service names none.
const DEADLINE_MS: u64 = 2000;
/// Default of `target_p99_ms`.
const TARGET_MS: u64 = 200;
/// Default of `slots`.
const SLOTS: u64 = 8;
/// Default of `connections`.
const CONNECTIONS: u64 = 64;
/// Default of `hold_ms`.
const HOLD_MS: u64 = 10_000;

/// Checks the whole document, as far as its shape allows.
pub(crate) fn document(document: &Value) -> Vec<Problem> {
    let mut problems = Vec::new();
    for (name, customer) in entries(document, "customers") {
        quota(&format!("customers.{name}.quota"), &customer["quota"], &mut problems);
    }
    for (name, item) in entries(document, "services") {
        service(&format!("services.{name}"), item, &mut problems);
    }
    tokens(document, &mut problems);
    not_empty(document, "operators", Code::NoOperator, &mut problems);
    not_empty(document, "domains", Code::NoDomain, &mut problems);
    policy(&document["policy"], &mut problems);
    problems
}

fn entries<'a>(document: &'a Value, key: &str) -> impl Iterator<Item = (&'a String, &'a Value)> {
    document[key].as_object().into_iter().flat_map(Map::iter)
}

fn not_empty(document: &Value, key: &str, code: Code, problems: &mut Vec<Problem>) {
    if document[key].as_object().is_some_and(Map::is_empty) {
        problems.push(Problem::new(code, key));
    }
}

fn quota(path: &str, quota: &Value, problems: &mut Vec<Problem>) {
    over(path, quota, &LARGEST_DEPLOYMENT, Code::QuotaTooLarge, problems);
    let zero = |key: &str| quota.get(key).and_then(Value::as_u64) == Some(0);
    if zero("milli_cpus") != zero("memory_mb") {
        let missing = if zero("milli_cpus") { "milli_cpus" } else { "memory_mb" };
        problems.push(Problem::new(Code::QuotaAdmitsNoJob, format!("{path}.{missing}")));
    }
}

fn service(path: &str, service: &Value, problems: &mut Vec<Problem>) {
    over(
        &format!("{path}.reserve"),
        &service["reserve"],
        &LARGEST_VM,
        Code::ReserveTooLarge,
        problems,
    );
    let number = |key: &str, default: u64| service[key].as_u64().unwrap_or(default);
    if number("target_p99_ms", TARGET_MS) > number("deadline_ms", DEADLINE_MS) {
        problems.push(Problem::new(Code::TargetOverDeadline, format!("{path}.target_p99_ms")));
    }
    if number("slots", SLOTS) > number("connections", CONNECTIONS) {
        problems.push(Problem::new(Code::SlotsOverConnections, format!("{path}.slots")));
    }
}

fn over(path: &str, value: &Value, most: &[(&str, u64)], code: Code, out: &mut Vec<Problem>) {
    for (key, most) in most {
        if let Some(number) = value[*key].as_u64().filter(|number| number > most) {
            let message = format!("{number} is over {most}, the most that makes sense.");
            out.push(Problem::new(code, format!("{path}.{key}")).message(message));
        }
    }
}

/// A token that two names share would charge one's requests to the other.
fn tokens(document: &Value, problems: &mut Vec<Problem>) {
    let mut first: HashMap<&str, String> = HashMap::new();
    for kind in ["customers", "operators"] {
        for (name, holder) in entries(document, kind) {
            let Some(digest) = holder["token_sha256"].as_str() else { continue };
            let path = format!("{kind}.{name}.token_sha256");
            if digest == EMPTY_DIGEST {
                problems.push(Problem::new(Code::EmptyToken, path));
                continue;
            }
            if let Some(other) = first.get(digest) {
                let message = format!("The token is also that of {other}.");
                problems.push(Problem::new(Code::TokenReused, path).message(message));
                continue;
            }
            first.insert(digest, format!("{kind}.{name}"));
        }
    }
}

fn policy(policy: &Value, problems: &mut Vec<Problem>) {
    let hold = policy["hold_ms"].as_u64().unwrap_or(HOLD_MS);
    let outage = policy["outage_hold_s"].as_u64().map_or(0, |s| s.saturating_mul(1000));
    if outage > 0 && outage < hold {
        problems.push(Problem::new(Code::OutageHoldTooShort, "policy.outage_hold_s"));
    }
}
