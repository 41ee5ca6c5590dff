//! What an entry knows of versions of the configuration that it does not have.

use geraniumpost::batch::entry::NewerVersions;
use proptest::prelude::*;

#[derive(Debug, Clone, Copy)]
enum Event {
    Heard(u64),
    Adopted(u64),
}

fn event() -> impl Strategy<Value = Event> {
    prop_oneof![(1..20_u64).prop_map(Event::Heard), (1..20_u64).prop_map(Event::Adopted)]
}

/// All that was ever heard, looked through from the beginning.
fn naive(events: &[Event]) -> (Option<u64>, u64) {
    let own = events.iter().map(|event| match event {
        Event::Adopted(version) => *version,
        Event::Heard(_) => 0,
    });
    let own = own.max().unwrap_or(0);
    let heard = events.iter().zip(0..).filter_map(|(event, at)| match event {
        Event::Heard(version) if *version > own => Some((*version, at)),
        _ => None,
    });
    let heard: Vec<(u64, u64)> = heard.collect();
    let newest = heard.iter().map(|(version, _)| *version).max().unwrap_or(0);
    (heard.iter().map(|(_, at)| *at).min(), newest.max(own))
}

proptest! {
    #[test]
    fn answers_are_those_of_looking_through_all(events in prop::collection::vec(event(), 0..40)) {
        let mut newer = NewerVersions::default();
        for (event, at) in events.iter().zip(0..) {
            match event {
                Event::Heard(version) => newer.observe(*version, at),
                Event::Adopted(version) => newer.adopt(*version),
            }
        }
        prop_assert_eq!((newer.behind_since_ms(), newer.newest_version()), naive(&events));
    }
}

/// Guards against an entry that is behind for long in a series: what it keeps stays bounded, and it still
/// knows since when it is behind.
#[test]
fn long_series_is_kept_within_bounds() {
    let mut newer = NewerVersions::default();
    for version in 1..=1_000 {
        newer.observe(version, version * 10);
    }
    assert_eq!((newer.behind_since_ms(), newer.newest_version()), (Some(10), 1_000));
    newer.adopt(999);
    assert_eq!(newer.behind_since_ms(), Some(10_000));
}
