//! An agent's list of terminated minions.

use geraniumpost_batch::Departures;
use geraniumpost_schema::Name;

fn name(name: &str) -> Name {
    Name::from(name)
}

fn unrecorded_names(departures: &Departures) -> Vec<&str> {
    departures.unrecorded_terminations().map(|name| &**name).collect()
}

/// A minion terminates while there is no coordinator that could be notified. The termination must
/// be reported to each later coordinator until a coordinator has recorded it.
#[test]
fn termination_is_kept_until_it_is_recorded() {
    let mut departures = Departures::default();
    departures.record_termination_notice(&name("m1"));
    assert!(unrecorded_names(&departures).is_empty(), "m1 may still be running");
    assert!(!departures.is_empty());
    departures.record_terminated(&name("m1"));
    assert_eq!(unrecorded_names(&departures), ["m1"]);
    departures.remove(&name("m1"));
    assert!(departures.is_empty());
}

/// A termination is detected twice: by the minion's own notice, and when another incarnation
/// responds. The agent must report the termination once.
#[test]
fn termination_is_kept_once() {
    let mut departures = Departures::default();
    departures.record_terminated(&name("m1"));
    departures.record_terminated(&name("m2"));
    departures.record_terminated(&name("m1"));
    assert_eq!(unrecorded_names(&departures), ["m2", "m1"]);
}

/// A minion restarts repeatedly while there is no coordinator. The number of kept incarnations is
/// limited, and the latest are kept, because their leases may not have expired yet.
#[test]
fn oldest_terminations_are_dropped_first() {
    let mut departures = Departures::default();
    for incarnation in 0..100 {
        departures.record_terminated(&name(&format!("m1-{incarnation}")));
    }
    let kept = unrecorded_names(&departures);
    assert_eq!(kept.len(), 16);
    assert_eq!(kept.last(), Some(&"m1-99"));
}

/// A crashed minion announces nothing, and its agent learns of the crash from the next incarnation.
/// If a planned replacement were reported as a crash too, tasks would be suspected of having
/// crashed minions that were drained.
#[test]
fn only_unannounced_replacement_is_a_crash() {
    let mut departures = Departures::default();
    departures.record_replaced(&name("m1"), false);
    departures.record_replaced(&name("m2"), true);
    departures.record_termination_notice(&name("m3"));
    departures.record_replaced(&name("m3"), false);
    departures.record_terminated(&name("m4"));
    let crashed = |minion| departures.has_crashed(&name(minion));
    assert_eq!(["m1", "m2", "m3", "m4"].map(crashed), [true, false, false, false]);
    departures.record_terminated(&name("m1"));
    assert!(departures.has_crashed(&name("m1")), "a second sign of the end changes nothing");
    departures.remove(&name("m1"));
    assert!(!departures.has_crashed(&name("m1")));
}
