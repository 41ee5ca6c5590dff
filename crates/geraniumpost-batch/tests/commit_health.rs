//! Tests of when the store counts as not committing.

use geraniumpost_batch::admission::CommitHealth;

/// Returns the age in milliseconds from which an outstanding write of a store with the given
/// response time counts as not committed.
fn bound_with_response_time(response_ms: u64) -> u64 {
    let is_over = |age_ms: &u64| {
        let mut health = CommitHealth::new(0);
        health.record_response(response_ms);
        health.update(Some(0), *age_ms)
    };
    (0..10_000).find(is_over).expect("there is a bound")
}

#[test]
fn bound_is_a_third_of_the_usual_deadline_for_a_fast_store() {
    assert_eq!(bound_with_response_time(4), 1_001);
}

#[test]
fn bound_follows_the_response_time_of_a_slow_store_and_stays_below_the_deadline() {
    assert_eq!(bound_with_response_time(350), 1_401);
    assert_eq!(bound_with_response_time(2_000), 2_001);
}

/// Many writes wait for each other while the store commits one after the other.
#[test]
fn age_counts_from_the_last_commit() {
    let mut health = CommitHealth::new(0);
    for now_ms in (0..10_000).step_by(500) {
        assert!(!health.update(Some(0), now_ms));
        health.record_commit(now_ms);
    }
    assert!(health.is_committing());
}

/// Four concurrent writes are refused at the same time, and the next attempt succeeds.
#[test]
fn refusals_at_one_moment_do_not_count() {
    let mut health = CommitHealth::new(0);
    (0..4).for_each(|_| health.record_refusal(10));
    assert!(!health.update(Some(0), 100));
    health.record_commit(110);
    health.record_refusal(5_000);
    assert!(!health.update(Some(5_000), 5_200));
}

/// Only a commit ends the state: reads may succeed while writes are refused.
#[test]
fn only_a_commit_shows_that_the_store_is_back() {
    let mut health = CommitHealth::new(0);
    for now_ms in [0, 60, 120, 180] {
        health.record_refusal(now_ms);
    }
    assert!(health.update(None, 180));
    health.record_response(4);
    assert!(!health.update(None, 400));
    assert!(!health.is_committing());
    assert_eq!(health.record_commit(500), Some(320));
    assert!(health.is_committing());
}
