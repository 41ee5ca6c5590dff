//! Tests of the record of configuration versions that are newer than the active one.

use geraniumpost::batch::entry::NewerVersions;
use proptest::prelude::*;

#[derive(Debug, Clone, Copy)]
enum Event {
    Observed(u64),
    Adopted(u64),
}

fn event() -> impl Strategy<Value = Event> {
    prop_oneof![(1..20_u64).prop_map(Event::Observed), (1..20_u64).prop_map(Event::Adopted)]
}

/// Computes the time since which the active version is outdated, and the newest known version, from
/// all events.
fn reference(events: &[Event]) -> (Option<u64>, u64) {
    let active = events.iter().map(|event| match event {
        Event::Adopted(version) => *version,
        Event::Observed(_) => 0,
    });
    let active = active.max().unwrap_or(0);
    let newer_versions = events.iter().zip(0..).filter_map(|(event, now_ms)| match event {
        Event::Observed(version) if *version > active => Some((*version, now_ms)),
        _ => None,
    });
    let newer_versions: Vec<(u64, u64)> = newer_versions.collect();
    let newest = newer_versions.iter().map(|(version, _)| *version).max().unwrap_or(0);
    (newer_versions.iter().map(|(_, now_ms)| *now_ms).min(), newest.max(active))
}

proptest! {
    #[test]
    fn newer_versions_match_the_reference(events in prop::collection::vec(event(), 0..40)) {
        let mut newer = NewerVersions::default();
        for (event, now_ms) in events.iter().zip(0..) {
            match event {
                Event::Observed(version) => newer.observe(*version, now_ms),
                Event::Adopted(version) => newer.adopt(*version),
            }
        }
        prop_assert_eq!((newer.behind_since_ms(), newer.newest_version()), reference(&events));
    }
}

/// Guards against unbounded memory use while an entry cannot read any of many versions. The time
/// since which the active version is outdated must be kept.
#[test]
fn tracked_versions_are_bounded() {
    let mut newer = NewerVersions::default();
    for version in 1..=1_000 {
        newer.observe(version, version * 10);
    }
    assert_eq!((newer.behind_since_ms(), newer.newest_version()), (Some(10), 1_000));
    newer.adopt(999);
    assert_eq!(newer.behind_since_ms(), Some(10_000));
}
