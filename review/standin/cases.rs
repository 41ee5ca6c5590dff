//! The cases. Each returns 0 if the rule held, 1 if it was broken and 2 if it could not run.

mod advice_burst;
mod advice_grows;
mod flap;
mod freeze;
mod gang;
mod late_start;
mod soak;

use std::time::{Duration, Instant};

use crate::record;

const HELD: i32 = 0;
const BROKEN: i32 = 1;
const COULD_NOT_RUN: i32 = 2;

/// Plays a case, with its disruption unless `TROUBLE` is 0.
pub fn run(case: &str) -> i32 {
    let file = std::env::var("RECORD").unwrap_or_else(|_| "record.txt".to_owned());
    if record::begin(&file).is_err() {
        return COULD_NOT_RUN;
    }
    let trouble = std::env::var("TROUBLE").map_or(true, |value| value != "0");
    let result = match case {
        "advice-grows" => advice_grows::run(trouble),
        "flap" => flap::run(trouble),
        "freeze" => freeze::run(trouble),
        "gang" => gang::run(trouble),
        "advice-burst" => advice_burst::run(trouble),
        "late-start" => late_start::run(trouble),
        "soak" => soak::run(trouble),
        _ => Err(std::io::Error::other("no such case")),
    };
    let (code, why) = match result {
        Ok((code, why)) => (code, why),
        Err(error) => (COULD_NOT_RUN, error.to_string()),
    };
    let verdict = ["held", "broken", "could not run"][code as usize];
    record::line(&format!("verdict: {verdict}: {why}"));
    println!("{case} (trouble: {trouble}): {verdict}: {why}");
    code
}

/// Waits until a condition holds; returns whether it does in time.
fn wait_until(patience: Duration, mut condition: impl FnMut() -> bool) -> bool {
    let deadline = Instant::now() + patience;
    while Instant::now() < deadline {
        if condition() {
            return true;
        }
        std::thread::sleep(Duration::from_millis(50));
    }
    condition()
}
