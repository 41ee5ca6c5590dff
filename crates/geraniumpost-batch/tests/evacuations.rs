//! Tests of what is known about evacuated failure domains.

use geraniumpost_batch::{EvacuationChanges, EvacuationReading, Evacuations, StartPermission};

const BOUND_MS: u64 = 5_000;

fn reading(revision: u64, domains: &[(&str, u64)]) -> EvacuationReading {
    let domains = domains.iter().map(|(domain, revision)| ((*domain).into(), *revision));
    EvacuationReading { revision, domains: domains.collect() }
}

/// Guards against a start that is delivered after the bound: permission ends so early that an order
/// sent at the last moment, to a domain that was evacuated just after the reading, arrives in time.
#[test]
fn permission_ends_before_the_bound() {
    for bound_ms in [300, 1_500, 2_000, BOUND_MS, 60_000] {
        let mut evacuations = Evacuations::new(Some(bound_ms));
        evacuations.record(reading(1, &[]), 100);
        let StartPermission::Until(until_ms) = evacuations.permission("surco", 100) else {
            panic!("no permission with a bound of {bound_ms} ms");
        };
        assert!(until_ms + 1_000 <= 100 + bound_ms || until_ms <= 100 + bound_ms / 2);
        assert_eq!(evacuations.permission("surco", until_ms), StartPermission::Unknown);
        assert!(evacuations.are_known(until_ms - 1) && !evacuations.are_known(until_ms));
    }
}

/// Guards against a successor that starts tasks before it has read the requests.
#[test]
fn nothing_is_permitted_before_the_first_reading() {
    let evacuations = Evacuations::new(Some(BOUND_MS));
    assert_eq!(evacuations.permission("surco", 0), StartPermission::Unknown);
    assert!(!evacuations.are_known(0));
}

/// Guards against a domain that is taken for readmitted because the store cannot be read.
#[test]
fn old_reading_still_shows_an_evacuation() {
    let mut evacuations = Evacuations::new(Some(BOUND_MS));
    evacuations.record(reading(4, &[("surco", 4)]), 0);
    assert_eq!(evacuations.permission("surco", 60_000), StartPermission::Evacuated);
    assert_eq!(evacuations.permission("ate", 60_000), StartPermission::Unknown);
}

/// Guards against overlapping readings: the response to an earlier one may arrive last.
#[test]
fn earlier_state_does_not_replace_a_later_one() {
    let mut evacuations = Evacuations::new(Some(BOUND_MS));
    evacuations.record(reading(8, &[("surco", 7)]), 300);
    assert_eq!(evacuations.record(reading(6, &[]), 400), EvacuationChanges::default());
    assert!(evacuations.is_evacuated("surco"));
    assert_eq!(evacuations.age_ms(500), Some(200));
}

/// Guards against an evacuation that is withdrawn and requested again between two readings.
#[test]
fn renewed_request_is_reported() {
    let mut evacuations = Evacuations::new(Some(BOUND_MS));
    evacuations.record(reading(4, &[("surco", 4), ("ate", 3)]), 0);
    let changes = evacuations.record(reading(9, &[("surco", 9)]), 500);
    assert_eq!(changes.evacuated, [("surco".into(), 9)]);
    assert_eq!(changes.readmitted, ["ate".into()]);
    assert_eq!(evacuations.domains().len(), 1);
}

/// Without a bound operators do not evacuate domains, and no reading is needed.
#[test]
fn every_start_is_permitted_without_a_bound() {
    let evacuations = Evacuations::new(None);
    assert_eq!(evacuations.permission("surco", 1_000_000), StartPermission::Unlimited);
    assert!(evacuations.are_known(1_000_000));
}
