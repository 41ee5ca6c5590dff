//! The support of entries for a coordinator, and how a successor determines the end of that
//! support.

use geraniumpost_batch::quorum::{Promises, Releases, Support, Voters};
use geraniumpost_batch::tuning::{
    ENTRY_PROMISE_DURATION_PERCENT, FIRST_VOTERS_DELAY_MS, PROMISE_DURATION_MS,
    VOTER_CHANGE_INTERVAL_MS, VOTER_TIMEOUT_MS,
};
use geraniumpost_schema::Name;

/// How long an entry keeps a promise, on its own clock.
const ENTRY_PROMISE_DURATION_MS: u64 = PROMISE_DURATION_MS * ENTRY_PROMISE_DURATION_PERCENT / 100;
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
    lone_coordinator_needs_no_support: 0 others => 0 support, 1 release;
    one_other_is_needed: 1 others => 1 support, 1 release;
    one_of_two_others_is_needed: 2 others => 1 support, 2 release;
    two_of_three_others_are_needed: 3 others => 2 support, 2 release;
    half_of_many_others_is_needed: 34 others => 17 support, 18 release;
}

/// For the coordinator a promise begins when the coordinator sent the pong that the entry responds
/// to: a delayed response may arrive after the promise has expired.
#[test]
fn promise_counts_from_the_sending_of_the_pong() {
    let mut support = Support::new(voters(2), 0);
    assert_eq!(support.supported_until_ms(), 0);
    support.record_promise(&entry(1), INCARNATION, 5_000);
    assert_eq!(support.supported_until_ms(), 5_000 + PROMISE_DURATION_MS);
    support.record_promise(&entry(1), INCARNATION, 4_000);
    assert_eq!(support.supported_until_ms(), 5_000 + PROMISE_DURATION_MS);
}

/// A majority of the voters supports the coordinator until so many promises have expired that the
/// remaining voters form no majority with the coordinator.
#[test]
fn majority_ends_with_its_first_expired_promise() {
    let mut support = Support::new(voters(4), 0);
    for (number, sent_at_ms) in [(1, 900), (2, 300), (3, 600)] {
        support.record_promise(&entry(number), INCARNATION, sent_at_ms);
    }
    assert_eq!(support.supported_until_ms(), 600 + PROMISE_DURATION_MS);
    assert_eq!(support.supporter_count(500 + PROMISE_DURATION_MS), 2);
}

/// A restarted entry gives promises like any other entry, but the coordinator must not count them:
/// the key lists its earlier incarnation, which may have released its promise to the successor.
#[test]
fn promise_of_another_incarnation_does_not_count() {
    let mut support = Support::new(voters(1), 0);
    support.record_promise(&entry(1), INCARNATION + 1, 5_000);
    support.record_promise(&entry(9), INCARNATION, 5_000);
    assert_eq!(support.supported_until_ms(), 0);
}

/// While other voters are being written, the key may hold either set, and the successor sends
/// release requests to the voters of the set that the successor reads. A coordinator that counted
/// only one set might extend leases for too long.
#[test]
fn both_sets_count_while_voters_change() {
    let mut support = Support::new(voters(1), 0);
    support.record_promise(&entry(1), INCARNATION, 5_000);
    support.begin_voter_change([(entry(2), INCARNATION)].into_iter().collect(), 5_000);
    assert_eq!(support.supported_until_ms(), 0);
    support.record_promise(&entry(2), INCARNATION, 4_900);
    assert_eq!(support.supported_until_ms(), 4_900 + PROMISE_DURATION_MS);
    support.complete_voter_change();
    assert!(support.voters().contains(&entry(2), INCARNATION));
}

/// Entries that stop responding must be left out of the next set of voters. Otherwise two lost
/// entries of five would permanently leave no margin for the loss of a third entry.
#[test]
fn silent_entries_are_removed_from_the_voters() {
    let mut support = Support::new(voters(2), 0);
    support.record_promise(&entry(1), INCARNATION, 5_000);
    support.record_promise(&entry(3), INCARNATION, 9_000);
    let next = support
        .voters_to_write(5_000 + VOTER_TIMEOUT_MS)
        .expect("the voters should change, because two entries do not respond");
    assert_eq!(next.names().collect::<Vec<_>>(), [&entry(3)]);
}

/// An entry that announces that it stops must be left out of the next set of voters, but its
/// promise remains valid.
#[test]
fn stopping_entry_is_removed_from_the_voters() {
    let mut support = Support::new(voters(1), 0);
    support.record_promise(&entry(1), INCARNATION, 5_000);
    support.mark_stopping(&entry(1));
    assert_eq!(support.voters_to_write(5_100), Some(Voters::default()));
    assert_eq!(support.supported_until_ms(), 5_000 + PROMISE_DURATION_MS);
}

/// A new coordinator rewrites its key before it has heard from any entry. With an empty set of
/// voters in the key, its own successor would have no entry to ask for a release, and would have to
/// wait for the full
/// [`STORE_OUTAGE_TOLERANCE_MS`](geraniumpost_batch::tuning::STORE_OUTAGE_TOLERANCE_MS).
#[test]
fn new_coordinator_keeps_the_voters_at_first() {
    let support = Support::new(voters(2), 1_000);
    assert_eq!(support.voters_to_write(1_000 + VOTER_CHANGE_INTERVAL_MS - 1), None);
    assert_eq!(support.voters_to_write(1_000 + VOTER_CHANGE_INTERVAL_MS), Some(Voters::default()));
}

/// Guards against a long wait for a coordinator that is lost in the first seconds of a deployment:
/// while the key names no voters, nobody can release a promise to it, and persistent tasks on
/// minions that nobody reaches are down for as long as a coordinator may last without the store.
#[test]
fn first_voters_are_named_without_waiting_for_the_usual_interval() {
    let mut support = Support::new(Voters::default(), 1_000);
    assert_eq!(support.voters_to_write(1_000 + FIRST_VOTERS_DELAY_MS), None, "none has responded");
    support.record_promise(&entry(1), INCARNATION, 1_300);
    assert_eq!(support.voters_to_write(1_000 + FIRST_VOTERS_DELAY_MS - 1), None);
    let first = support.voters_to_write(1_000 + FIRST_VOTERS_DELAY_MS).expect("one has responded");
    assert_eq!(first.names().collect::<Vec<_>>(), [&entry(1)]);
    support.begin_voter_change(first, 1_500);
    support.complete_voter_change();
    support.record_promise(&entry(2), INCARNATION, 1_600);
    assert_eq!(support.voters_to_write(1_500 + VOTER_CHANGE_INTERVAL_MS - 1), None);
    let later = support.voters_to_write(1_500 + VOTER_CHANGE_INTERVAL_MS);
    assert_eq!(later.expect("both respond").len(), 2);
}

/// An entry must give no promise to a coordinator that has a successor, even if the entry knows the
/// successor only from a release request.
#[test]
fn released_promise_is_not_renewed() {
    let mut promises = Promises::default();
    assert!(promises.promise(5, 1_000));
    assert_eq!(promises.release(8, 1_100), ENTRY_PROMISE_DURATION_MS - 100);
    assert!(!promises.promise(5, 1_200) && !promises.promise(7, 1_200));
    assert!(promises.promise(8, 1_200));
    assert_eq!(promises.release(8, 1_000 + ENTRY_PROMISE_DURATION_MS), 0);
    assert_eq!(promises.release(9, 1_000 + ENTRY_PROMISE_DURATION_MS), 200);
}

/// A successor knows when its predecessor loses support as soon as the voters that have not
/// responded can no longer form a majority with the predecessor.
#[test]
fn end_of_support_is_known_once_no_majority_is_left() {
    let mut releases = Releases::new(voters(3));
    releases.record(&entry(1), INCARNATION, 400, 1_000);
    releases.record(&entry(9), INCARNATION, 0, 1_000);
    assert_eq!(releases.support_end_ms(), None);
    assert_eq!(releases.voters_without_response().collect::<Vec<_>>(), [&entry(2), &entry(3)]);
    releases.record(&entry(3), INCARNATION, 100, 1_200);
    assert_eq!(releases.support_end_ms(), Some(1_400));
}

/// A restarted voter does not know the promises of its earlier process. The earlier process may
/// have given a promise just before it ended.
#[test]
fn restarted_voter_counts_as_a_promise_of_full_duration() {
    let mut releases = Releases::new(voters(1));
    releases.record(&entry(1), INCARNATION + 1, 0, 1_000);
    assert_eq!(releases.support_end_ms(), Some(1_000 + ENTRY_PROMISE_DURATION_MS));
}

/// A coordinator without voters may extend leases without the store, and no entry can report when
/// the coordinator stops doing so.
#[test]
fn end_of_support_of_a_lone_coordinator_is_unknown() {
    assert_eq!(Releases::new(Voters::default()).support_end_ms(), None);
    assert_eq!(Support::new(Voters::default(), 0).supported_until_ms(), u64::MAX);
}

/// Guards against a handover to nobody: entries that are stopping, or that no longer respond,
/// cannot take over.
#[test]
fn only_a_responding_entry_that_is_not_stopping_is_a_candidate() {
    let mut support = Support::new(voters(2), 0);
    assert!(!support.has_candidate(0), "no entry has responded yet");
    support.record_promise(&entry(1), INCARNATION, 1_000);
    assert!(support.has_candidate(1_000 + PROMISE_DURATION_MS - 1));
    assert!(!support.has_candidate(1_000 + PROMISE_DURATION_MS), "it no longer responds");
    support.record_promise(&entry(2), INCARNATION, 2_000);
    support.mark_stopping(&entry(2));
    assert!(!support.has_candidate(2_000), "it is stopping");
    support.record_promise(&entry(2), INCARNATION + 1, 3_000);
    assert!(support.has_candidate(3_000), "it has restarted");
}
