//! Tests of which runs are worth a second copy.

use geraniumpost_batch::stragglers::{ExpectedDuration, ObservedRun, RunDurations};
use geraniumpost_schema::Name;

const EXPECTED: ExpectedDuration = ExpectedDuration { median_ms: 1_000, slow_ms: 1_300 };

const fn observed(elapsed_ms: u64, progress_percent: u8) -> ObservedRun {
    ObservedRun { elapsed_ms, progress_percent, progress_after_ms: elapsed_ms }
}

/// Defines tests of whether a run with some time and progress is worth a copy.
macro_rules! runs {
    ($($(#[$doc:meta])* $name:ident: $elapsed_ms:expr, $percent:expr => $worth:expr;)*) => {$(
        $(#[$doc])*
        #[test]
        fn $name() {
            assert_eq!(observed($elapsed_ms, $percent).is_worth_a_copy(EXPECTED), $worth);
        }
    )*};
}

runs! {
    /// At this pace the run takes seven times as long as its class.
    run_at_a_seventh_of_the_pace_is_worth_a_copy: 700, 10 => true;
    run_at_the_usual_pace_is_not: 700, 70 => false;
    /// One poll is not enough to tell.
    young_run_is_not: 300, 1 => false;
    /// The run is late, but a copy would end after it.
    late_run_that_is_nearly_done_is_not: 6_500, 95 => false;
    run_without_progress_is_not_before_its_class_is_done: 2_500, 0 => false;
    run_without_progress_is_once_it_is_far_beyond_its_class: 2_700, 0 => true;
}

/// A few stragglers among the ended runs do not shift what counts as slow.
#[test]
fn stragglers_in_a_hundred_do_not_shift_the_expected_duration() {
    let mut durations = RunDurations::default();
    let class = Name::from("lookup");
    for run in 0..200 {
        let duration_ms = if run % 33 == 0 { 7_000 } else { 950 + run % 7 * 15 };
        durations.record(&class, duration_ms, 1_000);
    }
    let expected = durations.expected(&class, 2_000).expect("many runs have ended");
    assert!((1_800..2_200).contains(&expected.median_ms), "{expected:?}");
    assert!(expected.slow_ms < 2_200, "{expected:?}");
}

/// Few ended runs say too little.
#[test]
fn class_with_few_ended_runs_is_not_judged() {
    let mut durations = RunDurations::default();
    for _ in 0..9 {
        durations.record(&"lookup".into(), 1_000, 1_000);
    }
    assert_eq!(durations.expected(&"lookup".into(), 1_000), None);
}
