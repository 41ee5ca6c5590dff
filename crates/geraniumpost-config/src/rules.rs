//! Rules that hold between the values of the configuration document.

use std::collections::HashMap;

use serde_json::{Map, Value};

use crate::{Code, Problem};

/// Upper bounds on a reserve, larger than any VM. A larger value is probably in the wrong unit.
const LARGEST_VM: [(&str, u64); 3] =
    [("milli_cpus", 4_096_000), ("memory_mb", 67_108_864), ("accelerators", 1024)];

/// Upper bounds on a quota, larger than any deployment. A larger value is probably in the wrong
/// unit.
const LARGEST_DEPLOYMENT: [(&str, u64); 4] = [
    ("milli_cpus", 1_000_000_000),
    ("memory_mb", 1_000_000_000),
    ("accelerators", 1_000_000),
    ("jobs", 1_000_000),
];

/// SHA-256 of the empty string, which results if an operator hashes a token that was not set.
const EMPTY_DIGEST: &str = "e3b0c44298fc1c149afbf4c8996fb92427ae41e4649b934ca495991b7852b855";

/// Default of `deadline_ms` of a service, as in the schema.
const DEFAULT_DEADLINE_MS: u64 = 2000;
/// Default of `target_p99_ms` of a service, as in the schema.
const DEFAULT_TARGET_P99_MS: u64 = 200;
/// Default of `slots` of a service, as in the schema.
const DEFAULT_SLOTS: u64 = 8;
/// Default of `connections` of a service, as in the schema.
const DEFAULT_CONNECTIONS: u64 = 64;
/// Default of `hold_ms` of the policy, as in the schema.
const DEFAULT_HOLD_MS: u64 = 10_000;

/// Checks the rules for all values that have the expected type; the schema reports the others.
pub(crate) fn document(document: &Value) -> Vec<Problem> {
    let mut problems = Vec::new();
    for (name, customer) in entries(document, "customers") {
        check_quota(&format!("customers.{name}.quota"), &customer["quota"], &mut problems);
    }
    for (name, item) in entries(document, "services") {
        check_service(&format!("services.{name}"), item, &mut problems);
    }
    check_tokens(document, &mut problems);
    require_non_empty(document, "operators", Code::NoOperator, &mut problems);
    require_non_empty(document, "domains", Code::NoDomain, &mut problems);
    check_policy(&document["policy"], &mut problems);
    problems
}

fn entries<'a>(document: &'a Value, key: &str) -> impl Iterator<Item = (&'a String, &'a Value)> {
    document[key].as_object().into_iter().flat_map(Map::iter)
}

fn require_non_empty(document: &Value, key: &str, code: Code, problems: &mut Vec<Problem>) {
    if document[key].as_object().is_some_and(Map::is_empty) {
        problems.push(Problem::new(code, key));
    }
}

fn check_quota(path: &str, quota: &Value, problems: &mut Vec<Problem>) {
    check_bounds(path, quota, &LARGEST_DEPLOYMENT, Code::QuotaTooLarge, problems);
    let zero = |key: &str| quota.get(key).and_then(Value::as_u64) == Some(0);
    if zero("milli_cpus") != zero("memory_mb") {
        let missing = if zero("milli_cpus") { "milli_cpus" } else { "memory_mb" };
        problems.push(Problem::new(Code::QuotaAdmitsNoJob, format!("{path}.{missing}")));
    }
}

fn check_service(path: &str, service: &Value, problems: &mut Vec<Problem>) {
    check_bounds(
        &format!("{path}.reserve"),
        &service["reserve"],
        &LARGEST_VM,
        Code::ReserveTooLarge,
        problems,
    );
    let number = |key: &str, default: u64| service[key].as_u64().unwrap_or(default);
    if number("target_p99_ms", DEFAULT_TARGET_P99_MS) > number("deadline_ms", DEFAULT_DEADLINE_MS) {
        problems.push(Problem::new(Code::TargetOverDeadline, format!("{path}.target_p99_ms")));
    }
    if number("slots", DEFAULT_SLOTS) > number("connections", DEFAULT_CONNECTIONS) {
        problems.push(Problem::new(Code::SlotsOverConnections, format!("{path}.slots")));
    }
}

fn check_bounds(
    path: &str,
    value: &Value,
    bounds: &[(&str, u64)],
    code: Code,
    out: &mut Vec<Problem>,
) {
    for (key, bound) in bounds {
        if let Some(number) = value[*key].as_u64().filter(|number| number > bound) {
            let message = format!("{number} is over {bound}, the most that makes sense.");
            out.push(Problem::new(code, format!("{path}.{key}")).message(message));
        }
    }
}

/// Checks that no token is empty or shared. The requests of one customer would otherwise be charged
/// to another one with the same token.
fn check_tokens(document: &Value, problems: &mut Vec<Problem>) {
    let mut owners: HashMap<&str, String> = HashMap::new();
    for kind in ["customers", "operators"] {
        for (name, owner) in entries(document, kind) {
            let Some(digest) = owner["token_sha256"].as_str() else { continue };
            let path = format!("{kind}.{name}.token_sha256");
            if digest == EMPTY_DIGEST {
                problems.push(Problem::new(Code::EmptyToken, path));
                continue;
            }
            if let Some(other) = owners.get(digest) {
                let message = format!("The token is also that of {other}.");
                problems.push(Problem::new(Code::TokenReused, path).message(message));
                continue;
            }
            owners.insert(digest, format!("{kind}.{name}"));
        }
    }
}

fn check_policy(policy: &Value, problems: &mut Vec<Problem>) {
    let hold = policy["hold_ms"].as_u64().unwrap_or(DEFAULT_HOLD_MS);
    let outage = policy["outage_hold_s"].as_u64().map_or(0, |s| s.saturating_mul(1000));
    if outage > 0 && outage < hold {
        problems.push(Problem::new(Code::OutageHoldTooShort, "policy.outage_hold_s"));
    }
}
