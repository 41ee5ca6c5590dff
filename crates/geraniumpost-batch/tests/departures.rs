//! What an agent remembers of minions that have left.

use geraniumpost_batch::Departures;
use geraniumpost_schema::Name;

fn name(name: &str) -> Name {
    Name::from(name)
}

fn unsettled(departures: &Departures) -> Vec<&str> {
    departures.unrecorded().map(|name| &**name).collect()
}

/// A farewell comes while nobody coordinates, so that nobody hears of it. It is told to each
/// coordinator after that, until one has recorded it.
#[test]
fn departure_is_kept_until_it_is_settled() {
    let mut departures = Departures::default();
    departures.record_leaving(&name("m1"));
    assert!(unsettled(&departures).is_empty(), "it may still be running");
    assert!(!departures.is_empty());
    departures.record_terminated(&name("m1"));
    assert_eq!(unsettled(&departures), ["m1"]);
    departures.remove(&name("m1"));
    assert!(departures.is_empty());
}

/// A minion is heard of as gone twice: by its farewell, and by another incarnation that answers. It is
/// told once.
#[test]
fn departure_is_kept_once() {
    let mut departures = Departures::default();
    departures.record_terminated(&name("m1"));
    departures.record_terminated(&name("m2"));
    departures.record_terminated(&name("m1"));
    assert_eq!(unsettled(&departures), ["m2", "m1"]);
}

/// A minion starts anew again and again while nobody coordinates. The memory of its lives is bounded,
/// and the latest are kept: those are the ones that leases may still be held for.
#[test]
fn oldest_departures_are_forgotten_first() {
    let mut departures = Departures::default();
    for life in 0..100 {
        departures.record_terminated(&name(&format!("m1-{life}")));
    }
    let kept = unsettled(&departures);
    assert_eq!(kept.len(), 16);
    assert_eq!(kept.last(), Some(&"m1-99"));
}
