use std::collections::{BTreeMap, BTreeSet};

use geraniumpost_standin::minion::{MinionEvent, MinionEventKind, expected_answer};

use super::{ObservedRequest, Outcome, RequestViolation};

/// Compares the outcomes that callers observed with the runs in the minions' records.
///
/// Both must be complete: `record` must be read after all callers have observed an outcome and
/// after requests in flight have had time to arrive at the minions. Otherwise a late run is missed.
pub fn check_requests(
    requests: &[ObservedRequest],
    record: &[MinionEvent],
) -> Vec<RequestViolation> {
    let runs = runs_by_id(record);
    let mut found = over_slots(record);
    found.extend(requests.iter().filter_map(|r| check_outcome(r, requests, &runs)));
    found.extend(ran_twice(requests, record));
    found
}

/// Counts the runs of each request id.
fn runs_by_id(record: &[MinionEvent]) -> BTreeMap<&str, usize> {
    let mut runs = BTreeMap::new();
    for event in record.iter().filter(|e| e.kind == MinionEventKind::Started) {
        *runs.entry(event.request_id.as_str()).or_default() += 1;
    }
    runs
}

fn over_slots(record: &[MinionEvent]) -> Vec<RequestViolation> {
    let over = record.iter().filter(|e| e.kind == MinionEventKind::OverSlots);
    let minions: BTreeSet<&String> = over.map(|e| &e.minion).collect();
    minions.into_iter().cloned().map(RequestViolation::OverSlots).collect()
}

fn check_outcome(
    request: &ObservedRequest,
    all: &[ObservedRequest],
    runs: &BTreeMap<&str, usize>,
) -> Option<RequestViolation> {
    let id = &request.request_id;
    match &request.outcome {
        Outcome::NotRun | Outcome::Unreachable => {
            runs.contains_key(id.as_str()).then(|| RequestViolation::RanAlthoughNotRun(id.clone()))
        }
        Outcome::Answered { status, body } => check_answer(request, all, runs, *status, body),
        Outcome::MayHaveRun | Outcome::NoResponse => None,
    }
}

/// Accepts the response to any request with the same key, because a retry gets the response to the
/// first run.
fn check_answer(
    request: &ObservedRequest,
    all: &[ObservedRequest],
    runs: &BTreeMap<&str, usize>,
    status: u16,
    body: &[u8],
) -> Option<RequestViolation> {
    let id = &request.request_id;
    let attempts = all.iter().filter(|r| r.operation() == request.operation());
    let ran: Vec<&ObservedRequest> =
        attempts.filter(|r| runs.contains_key(r.request_id.as_str())).collect();
    if ran.is_empty() {
        return Some(RequestViolation::AnsweredWithoutRun(id.clone()));
    }
    let own = ran.iter().any(|r| body == expected_answer(&r.request_id, &r.body, r.answer_bytes));
    (status == 200 && !own).then(|| RequestViolation::WrongAnswer(id.clone()))
}

fn ran_twice(requests: &[ObservedRequest], record: &[MinionEvent]) -> Vec<RequestViolation> {
    let operations: BTreeMap<&str, &str> = requests
        .iter()
        .filter(|r| !r.idempotent)
        .map(|r| (r.request_id.as_str(), r.operation()))
        .collect();
    let mut runs: BTreeMap<&str, usize> = BTreeMap::new();
    for event in record.iter().filter(|e| e.kind == MinionEventKind::Started) {
        if let Some(operation) = operations.get(event.request_id.as_str()) {
            *runs.entry(operation).or_default() += 1;
        }
    }
    let twice = runs.into_iter().filter(|(_, runs)| *runs > 1);
    twice
        .map(|(operation, runs)| RequestViolation::RanTwice {
            operation: operation.to_owned(),
            runs,
        })
        .collect()
}
