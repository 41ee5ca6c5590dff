//! Who supports a coordinator, and how its successor learns when that has ended.

use geraniumpost_batch::quorum::{Promises, Releases, Support, Voters};
use geraniumpost_batch::tuning::{
    PROMISE_MS, PROMISE_PERCENT, VOTER_CHANGE_INTERVAL_MS, VOTER_TIMEOUT_MS,
};
use geraniumpost_schema::Name;

/// How long an entry keeps a promise.
const KEPT_MS: u64 = PROMISE_MS * PROMISE_PERCENT / 100;
const INCARNATION: u64 = 7;

fn entry(number: usize) -> Name {
    format!("entry-{number}").into()
}

fn voters(count: usize) -> Voters {
    (1..=count).map(|number| (entry(number), INCARNATION)).collect()
}

macro_rules! majorities {
    ($($name:ident: $others:literal others => $support:literal support, $release:literal release;)*) => {$(
        #[test]
        fn $name() {
            let voters = voters($others);
            let needed = (voters.needed_to_support(), voters.needed_to_release());
            assert_eq!(needed, ($support, $release));
        }
    )*};
}

majorities! {
    lone_coordinator_asks_nobody: 0 others => 0 support, 1 release;
    one_other_decides: 1 others => 1 support, 1 release;
    one_of_two_others_supports: 2 others => 1 support, 2 release;
    two_of_three_others_support: 3 others => 2 support, 2 release;
    half_of_many_others_supports: 34 others => 17 support, 18 release;
}

/// An entry's promise counts from the coordinator's own sending: the entry's answer may be on its way for
/// long, and its promise may be over when it is read.
#[test]
fn promise_counts_from_the_word_that_it_answers() {
    let mut support = Support::new(voters(2), 0);
    assert_eq!(support.supported_until_ms(), 0);
    support.record_promise(&entry(1), INCARNATION, 5_000);
    assert_eq!(support.supported_until_ms(), 5_000 + PROMISE_MS);
    support.record_promise(&entry(1), INCARNATION, 4_000);
    assert_eq!(support.supported_until_ms(), 5_000 + PROMISE_MS);
}

/// The majority lasts for as long as its shortest promise.
#[test]
fn majority_ends_with_its_shortest_promise() {
    let mut support = Support::new(voters(4), 0);
    for (number, sent_at_ms) in [(1, 900), (2, 300), (3, 600)] {
        support.record_promise(&entry(number), INCARNATION, sent_at_ms);
    }
    assert_eq!(support.supported_until_ms(), 600 + PROMISE_MS);
    assert_eq!(support.supporter_count(500 + PROMISE_MS), 2);
}

/// A process that has just started promises like any other, but the successor does not count it: the one
/// that is counted may have released its promise.
#[test]
fn promise_of_another_incarnation_does_not_count() {
    let mut support = Support::new(voters(1), 0);
    support.record_promise(&entry(1), INCARNATION + 1, 5_000);
    support.record_promise(&entry(9), INCARNATION, 5_000);
    assert_eq!(support.supported_until_ms(), 0);
}

/// While another list of voters is written, the key may hold either of the two, and a successor asks
/// accordingly. A coordinator that counted by one of them alone might go on after its end.
#[test]
fn both_lists_count_while_one_is_written() {
    let mut support = Support::new(voters(1), 0);
    support.record_promise(&entry(1), INCARNATION, 5_000);
    support.begin_voter_change([(entry(2), INCARNATION)].into_iter().collect(), 5_000);
    assert_eq!(support.supported_until_ms(), 0);
    support.record_promise(&entry(2), INCARNATION, 4_900);
    assert_eq!(support.supported_until_ms(), 4_900 + PROMISE_MS);
    support.complete_voter_change();
    assert!(support.voters().contains(&entry(2), INCARNATION));
}

/// Entries that have not answered for a while are counted no more once the key is written anew: two lost
/// entries of five would otherwise leave no margin for a third one, for ever.
#[test]
fn silent_entries_are_to_be_voters_no_more() {
    let mut support = Support::new(voters(2), 0);
    support.record_promise(&entry(1), INCARNATION, 5_000);
    support.record_promise(&entry(3), INCARNATION, 9_000);
    let wanted = support.voters_to_write(5_000 + VOTER_TIMEOUT_MS).expect("two are silent");
    assert_eq!(wanted.names().collect::<Vec<_>>(), [&entry(3)]);
}

/// An entry that says that it is about to stop is no voter in the next list, but what it promised holds.
#[test]
fn leaving_entry_is_to_be_a_voter_no_more() {
    let mut support = Support::new(voters(1), 0);
    support.record_promise(&entry(1), INCARNATION, 5_000);
    support.mark_stopping(&entry(1));
    assert_eq!(support.voters_to_write(5_100), Some(Voters::default()));
    assert_eq!(support.supported_until_ms(), 5_000 + PROMISE_MS);
}

/// A coordinator has just taken over and rewrites its key for another reason. It has heard of nobody; were it to name
/// no voters, its own successor could ask nobody and wait for the longest time.
#[test]
fn new_coordinator_keeps_the_voters_of_its_predecessor_at_first() {
    let support = Support::new(voters(2), 1_000);
    assert_eq!(support.voters_to_write(1_000 + VOTER_CHANGE_INTERVAL_MS - 1), None);
    assert_eq!(support.voters_to_write(1_000 + VOTER_CHANGE_INTERVAL_MS), Some(Voters::default()));
}

/// An entry promises nothing to a coordinator that has a successor, also if it hears of that one from the
/// successor alone.
#[test]
fn released_promise_is_not_renewed() {
    let mut promises = Promises::default();
    assert!(promises.promise(5, 1_000));
    assert_eq!(promises.release(8, 1_100), KEPT_MS - 100);
    assert!(!promises.promise(5, 1_200) && !promises.promise(7, 1_200));
    assert!(promises.promise(8, 1_200));
    assert_eq!(promises.release(8, 1_000 + KEPT_MS), 0);
    assert_eq!(promises.release(9, 1_000 + KEPT_MS), 200);
}

/// The successor knows of the end once enough have answered that no majority is left.
#[test]
fn end_is_known_once_no_majority_is_left() {
    let mut releases = Releases::new(voters(3));
    releases.record(&entry(1), INCARNATION, 400, 1_000);
    releases.record(&entry(9), INCARNATION, 0, 1_000);
    assert_eq!(releases.support_end_ms(), None);
    assert_eq!(releases.unanswered().collect::<Vec<_>>(), [&entry(2), &entry(3)]);
    releases.record(&entry(3), INCARNATION, 100, 1_200);
    assert_eq!(releases.support_end_ms(), Some(1_400));
}

/// A voter was restarted: it knows of no promise, but the process before it may have given one just before
/// its end.
#[test]
fn restarted_voter_counts_with_a_whole_promise() {
    let mut releases = Releases::new(voters(1));
    releases.record(&entry(1), INCARNATION + 1, 0, 1_000);
    assert_eq!(releases.support_end_ms(), Some(1_000 + KEPT_MS));
}

/// A coordinator without voters may go on for long, and nobody can tell when it ends.
#[test]
fn end_of_a_lone_coordinator_is_not_known() {
    assert_eq!(Releases::new(Voters::default()).support_end_ms(), None);
    assert_eq!(Support::new(Voters::default(), 0).supported_until_ms(), u64::MAX);
}
