//! Simulates entries that take over from each other. No coordinator may extend leases after the
//! time at which its successor assumes that the coordinator has stopped extending them.
//!
//! The rules are those of [`quorum`](geraniumpost_batch::quorum). Entries freeze and restart,
//! messages are delayed, reordered and lost, the store responds late, and each clock runs up to 1%
//! fast or slow.

mod fleet;
mod process;

use proptest::collection::vec;
use proptest::prelude::*;
use proptest::test_runner::RngSeed;

use fleet::{Fault, Fleet};

/// Number of simulations with random faults.
const CASES: u32 = 600;

fn faults() -> impl Strategy<Value = Vec<(u64, Fault)>> {
    let entry = 0..5_usize;
    let duration_ms = prop_oneof![50..900_u64, 900..2_500_u64, 2_500..12_000_u64];
    let fault = prop_oneof![
        4 => entry.clone().prop_map(Fault::TakeOver),
        2 => (entry.clone(), duration_ms.clone()).prop_map(|(entry, ms)| Fault::Freeze(entry, ms)),
        1 => entry.clone().prop_map(Fault::Restart),
        2 => (entry.clone(), entry.clone(), duration_ms.clone())
            .prop_map(|(from, to, ms)| Fault::LinkCut(from, to, ms)),
        2 => (entry, duration_ms).prop_map(|(entry, ms)| Fault::StoreCut(entry, ms)),
    ];
    vec((0..3_000_u64, fault), 1..=12)
}

fn proptest_config() -> ProptestConfig {
    ProptestConfig {
        cases: CASES,
        rng_seed: RngSeed::Fixed(601),
        failure_persistence: None,
        ..ProptestConfig::default()
    }
}

proptest! {
    #![proptest_config(proptest_config())]

    /// A disconnected or frozen coordinator that extends leases for too long keeps tasks running
    /// that its successor starts elsewhere, and a caller gets two results.
    #[test]
    fn no_lease_is_extended_after_its_end(seed in any::<u64>(), faults in faults()) {
        let outcome = Fleet::new(5, seed).run(&faults);
        prop_assert_eq!(outcome.overlap, None);
    }
}

/// The simulation must cover the relevant cases: successors that determine when a predecessor stops
/// extending leases, and coordinators that extend leases without the store. Otherwise the
/// simulation would pass with wrong rules.
#[test]
fn simulation_covers_lease_extensions_without_the_store() {
    let outcomes = (0..40).map(|seed| {
        let faults = [(4_000, Fault::StoreCut(0, 6_000)), (3_000, Fault::TakeOver(1))];
        Fleet::new(5, seed).run(&faults)
    });
    let (ends, extended) = outcomes.fold((0, 0), |(ends, extended), outcome| {
        (ends + outcome.extension_ends_determined, extended + outcome.ticks_without_store)
    });
    assert!(
        ends >= 30 && extended >= 30,
        "{ends} ends determined, {extended} steps with leases extended without the store"
    );
}
