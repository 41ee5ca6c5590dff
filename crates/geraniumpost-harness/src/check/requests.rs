use std::collections::{BTreeMap, BTreeSet};

use geraniumpost_standin::minion::{MinionEvent, MinionEventKind, expected_answer};

use super::{RequestViolation, Told, Word};

/// Compares what callers were told with what the minions ran.
///
/// Both must be complete: the record is read after the last caller was told, and after everything
/// still under way has had the time to arrive.
pub fn check_requests(told: &[Told], record: &[MinionEvent]) -> Vec<RequestViolation> {
    let runs = runs_by_id(record);
    let mut found = over_slots(record);
    found.extend(told.iter().filter_map(|t| check_word(t, told, &runs)));
    found.extend(ran_twice(told, record));
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

fn check_word(told: &Told, all: &[Told], runs: &BTreeMap<&str, usize>) -> Option<RequestViolation> {
    let id = &told.request_id;
    match &told.word {
        Word::NotRun | Word::Unreachable => {
            runs.contains_key(id.as_str()).then(|| RequestViolation::RanAlthoughNotRun(id.clone()))
        }
        Word::Answered { status, body } => check_answer(told, all, runs, *status, body),
        Word::MayHaveRun | Word::Nothing => None,
    }
}

/// Accepts the answer of any request with the same key, since a repeat gets the first one's.
fn check_answer(
    told: &Told,
    all: &[Told],
    runs: &BTreeMap<&str, usize>,
    status: u16,
    body: &[u8],
) -> Option<RequestViolation> {
    let id = &told.request_id;
    let repeats = all.iter().filter(|t| t.intention() == told.intention());
    let ran: Vec<&Told> = repeats.filter(|t| runs.contains_key(t.request_id.as_str())).collect();
    if ran.is_empty() {
        return Some(RequestViolation::AnsweredWithoutRun(id.clone()));
    }
    let own = ran.iter().any(|t| body == expected_answer(&t.request_id, &t.body, t.answer_bytes));
    (status == 200 && !own).then(|| RequestViolation::WrongAnswer(id.clone()))
}

fn ran_twice(told: &[Told], record: &[MinionEvent]) -> Vec<RequestViolation> {
    let intentions: BTreeMap<&str, &str> = told
        .iter()
        .filter(|t| !t.idempotent)
        .map(|t| (t.request_id.as_str(), t.intention()))
        .collect();
    let mut runs: BTreeMap<&str, usize> = BTreeMap::new();
    for event in record.iter().filter(|e| e.kind == MinionEventKind::Started) {
        if let Some(intention) = intentions.get(event.request_id.as_str()) {
            *runs.entry(intention).or_default() += 1;
        }
    }
    let twice = runs.into_iter().filter(|(_, runs)| *runs > 1);
    twice
        .map(|(intention, runs)| RequestViolation::RanTwice {
            intention: intention.to_owned(),
            runs,
        })
        .collect()
}
