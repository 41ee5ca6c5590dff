//! What one process has learnt of harm, and another one takes over.

use geraniumpost_core::placement::{HarmModel, LearntPair};
use geraniumpost_schema::Name;
use proptest::prelude::*;

/// Load told of every measurement.
const LOAD: f64 = 0.5;

/// Returns a model that has seen a class come and go, with changes of this size.
fn learnt(change: f64) -> HarmModel {
    let mut model = HarmModel::default();
    let class = model.class(&Name::from("study"));
    for round in 0..40 {
        let sign = if round % 2 == 0 { 1.0 } else { -1.0 };
        model.observe_change(
            &Name::from("filing"),
            LOAD,
            &[(class, sign * 16_000.0)],
            sign * change,
        );
    }
    model
}

proptest! {
    /// A successor expects the same harm as its predecessor, within what either is unsure of.
    #[test]
    fn recalled_slopes_are_those_that_were_learnt(change in 0.0_f64..0.5) {
        let first = learnt(change);
        let mut second = HarmModel::default();
        for pair in first.pairs() {
            second.recall(&pair);
        }
        let slope = |model: &HarmModel| {
            model.slope(&Name::from("filing"), model.known_class(&Name::from("study")))
        };
        prop_assert!((slope(&first) - slope(&second)).abs() < 0.02);
    }

    /// Whatever stands in a damaged record, slopes stay numbers.
    #[test]
    fn senseless_pairs_change_nothing(slope in any::<f64>(), evidence in any::<f64>()) {
        let mut model = HarmModel::default();
        let (service, class) = (Name::from("filing"), Name::from("study"));
        model.recall(&LearntPair { service, class, slope, evidence });
        let class = model.known_class(&Name::from("study"));
        prop_assert!(model.slope(&Name::from("filing"), class).is_finite());
    }
}

/// Tails mostly fall when a class ends, as its end is what is seen most. The class is to blame for the
/// fall, not the service's own curve; otherwise a class that presses hard passes for harmless.
#[test]
fn falls_alone_tell_the_slope() {
    let mut model = HarmModel::default();
    let class = model.class(&Name::from("study"));
    for _ in 0..40 {
        model.observe_change(&Name::from("filing"), LOAD, &[(class, -16_000.0)], -0.3);
    }
    let slope = model.slope(&Name::from("filing"), class);
    assert!((slope - 0.3 / HarmModel::strength(16_000.0, LOAD)).abs() < 0.05, "{slope}");
}
