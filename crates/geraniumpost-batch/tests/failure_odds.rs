//! Tests of what ends of runs tell about minions, classes of work and jobs.

use geraniumpost_batch::JobId;
use geraniumpost_batch::failure_odds::{FailureOdds, MinionEvidence};
use geraniumpost_batch::tuning::QUARANTINE_DURATION_MS;
use geraniumpost_schema::Name;

/// Returns how many failures in a row quarantine a minion whose runs fail with `odds` when sound.
fn failures_until_quarantine(odds: f64) -> usize {
    let mut evidence = MinionEvidence::default();
    (1..100).find(|_| evidence.record_end(true, odds, 1_000).is_some()).expect("quarantined")
}

/// The more often a class fails by its own fault, the more failures in a row are needed.
#[test]
fn failures_until_quarantine_grow_with_the_odds_of_the_class() {
    assert_eq!(failures_until_quarantine(0.01), 2);
    assert_eq!(failures_until_quarantine(0.05), 3);
    assert_eq!(failures_until_quarantine(0.1), 4);
}

/// A class that always fails tells nothing about minions.
#[test]
fn class_that_always_fails_is_no_evidence() {
    let mut evidence = MinionEvidence::default();
    assert!((0..1_000).all(|_| evidence.record_end(true, 1.0, 1_000).is_none()));
    assert!(evidence.log_odds(1_000) < 0.001);
}

/// A minion worked well for long, and then breaks. Its past must not hide that.
#[test]
fn long_sound_past_hides_no_fault() {
    let mut evidence = MinionEvidence::default();
    for at_ms in 0..1_000 {
        evidence.record_end(false, 0.05, at_ms);
    }
    let quarantined = (0..3).any(|_| evidence.record_end(true, 0.05, 1_000).is_some());
    assert!(quarantined);
}

/// After a quarantine the next failure begins a longer one, up to a bound.
#[test]
fn next_failure_after_release_quarantines_for_longer() {
    let mut evidence = MinionEvidence::default();
    let mut now_ms = 1_000;
    let mut durations = Vec::new();
    while durations.len() < 6 {
        if let Some(quarantine) = evidence.record_end(true, 0.05, now_ms) {
            durations.push(quarantine.duration_ms / QUARANTINE_DURATION_MS);
            now_ms += quarantine.duration_ms;
        }
    }
    assert_eq!(durations, [1, 2, 4, 8, 8, 8]);
}

/// After a quarantine a success counts in the minion's favor, and several clear it.
#[test]
fn successes_after_release_clear_a_minion() {
    let mut evidence = MinionEvidence::default();
    let quarantine = (0..3).find_map(|_| evidence.record_end(true, 0.05, 1_000));
    let release_ms = 1_000 + quarantine.expect("three failures in a row").duration_ms;
    let before = evidence.log_odds(release_ms);
    evidence.record_end(false, 0.05, release_ms);
    assert!(evidence.log_odds(release_ms) < before);
    for _ in 0..6 {
        evidence.record_end(false, 0.05, release_ms);
    }
    assert!(!evidence.is_on_probation(release_ms) && evidence.is_proven(release_ms));
}

/// Runs that began before a quarantine end during it. They prolong it no further.
#[test]
fn ends_during_a_quarantine_prolong_it_no_further() {
    let mut evidence = MinionEvidence::default();
    assert!((0..3).any(|_| evidence.record_end(true, 0.05, 1_000).is_some()));
    assert!((0..20).all(|_| evidence.record_end(true, 0.05, 1_100).is_none()));
    evidence.record_end(false, 0.05, 1_000 + QUARANTINE_DURATION_MS);
    let after = evidence.log_odds(1_000 + QUARANTINE_DURATION_MS);
    assert!(after < 6.0, "{after}");
}

/// A job that always fails raises its own odds quickly, and those of its class slowly.
#[test]
fn burst_of_one_job_points_to_the_job() {
    let mut odds = FailureOdds::default();
    let class = Name::from("render");
    for _ in 0..4 {
        odds.record_end(&class, JobId(1), true, 1.0, 1_000);
    }
    assert!(odds.of_run(&class, JobId(1), 1_000) > 0.6);
    assert!(odds.of_run(&class, JobId(2), 1_000) < 0.25);
    assert!(odds.of_class(&class, 600_000) < 0.06, "the burst is forgotten after minutes");
}

/// The odds of a class follow what is observed, in both directions.
#[test]
fn odds_of_a_class_follow_its_ends() {
    let mut odds = FailureOdds::default();
    let (good, bad) = (Name::from("good"), Name::from("bad"));
    for number in 0..400 {
        odds.record_end(&good, JobId(number), false, 1.0, number);
        odds.record_end(&bad, JobId(1_000 + number), number % 4 == 0, 1.0, number);
    }
    assert!(odds.of_class(&good, 400) < 0.01);
    assert!((odds.of_class(&bad, 400) - 0.25).abs() < 0.03);
}

/// Failures on a minion that is probably faulty count little against the class.
#[test]
fn failures_on_faulty_minions_hardly_count_against_the_class() {
    let mut evidence = MinionEvidence::default();
    for _ in 0..3 {
        evidence.record_end(true, 0.05, 1_000);
    }
    assert!(evidence.soundness(1_000) < 0.7);
    assert!(MinionEvidence::default().soundness(0) > 0.99);
}
