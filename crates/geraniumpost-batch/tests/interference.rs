//! Learning of interference between images from measurements, and speed limits derived from learned
//! interference.

use std::collections::BTreeMap;
use std::f64::consts::TAU;

use geraniumpost_batch::interference::{
    FullSpeedLoad, InterferenceModel, ServingGroup, speed_limits,
};
use geraniumpost_batch::{InterferencePair, InterferenceSnapshot, JobId, TaskId};
use geraniumpost_schema::Name;
use proptest::prelude::*;
use proptest::test_runner::RngSeed;

/// Tail latency of the idle serving image, as a multiple of its bound.
const IDLE_TAIL_LATENCY_RATIO: f64 = 0.2;
/// Interval between the measurements of a minion, in milliseconds.
const MEASUREMENT_INTERVAL_MS: u64 = 400;
/// Period of each minion's user load, in milliseconds.
const LOAD_PERIOD_MS: f64 = 14_000.0;
/// Share of a minion's processors that a running best-effort image uses.
const BEST_EFFORT_SHARE: f64 = 0.2;

/// Simulated minions that run one serving step, with a best-effort image that starts and stops on
/// each minion.
struct Simulation {
    minions: u32,
    /// Phase lag of each minion's user load behind the previous minion's, in radians.
    lag: f64,
    /// Utilization that the best-effort image would add by using all processors of a minion.
    slope: f64,
    /// Amplitude of the noise of the measured utilization.
    noise: f64,
}

impl Simulation {
    fn serving_image() -> Name {
        Name::from("serving")
    }

    fn best_effort_image() -> Name {
        Name::from("best-effort")
    }

    fn group(minion: u32) -> ServingGroup {
        let step = TaskId { job: JobId(1), occurrence: 0, step: 0, index: 0 };
        ServingGroup::of(step, &Name::from(format!("m{minion}")))
    }

    fn user_utilization(&self, minion: u32, at_ms: u64) -> f64 {
        let phase = TAU * at_ms as f64 / LOAD_PERIOD_MS + self.lag * f64::from(minion);
        0.45 + 0.2 * phase.sin()
    }

    /// Feeds the measurements of all minions over `ms` milliseconds into a new model, and returns
    /// the model.
    fn run(&self, ms: u64) -> InterferenceModel {
        let mut model = InterferenceModel::default();
        // A measurement of an idle task of another step shows the image's lowest tail latency.
        let step = TaskId { job: JobId(2), occurrence: 0, step: 0, index: 0 };
        let idle = ServingGroup::of(step, &Name::from("idle"));
        model.observe(&Self::serving_image(), &idle, IDLE_TAIL_LATENCY_RATIO, &BTreeMap::new(), 0);
        for at_ms in (MEASUREMENT_INTERVAL_MS..ms).step_by(MEASUREMENT_INTERVAL_MS as usize) {
            for minion in 0..self.minions {
                let runs = (at_ms / 2_000 + u64::from(minion)).is_multiple_of(2);
                let share = if runs { BEST_EFFORT_SHARE } else { 0.0 };
                let sample = (at_ms as f64 * 1.7 + f64::from(minion) * 2.3).sin();
                let busy =
                    self.user_utilization(minion, at_ms) + self.slope * share + self.noise * sample;
                let used = BTreeMap::from([(Self::best_effort_image(), share)]);
                let tail_latency_ratio = IDLE_TAIL_LATENCY_RATIO / (1.0 - busy.min(0.97));
                model.observe(
                    &Self::serving_image(),
                    &Self::group(minion),
                    tail_latency_ratio,
                    &used,
                    at_ms,
                );
            }
        }
        model
    }

    fn learned_slope(model: &InterferenceModel) -> f64 {
        model.added_utilization(&Self::serving_image(), &Self::best_effort_image(), 1.0)
    }
}

fn proptest_config() -> ProptestConfig {
    ProptestConfig {
        rng_seed: RngSeed::Fixed(602),
        failure_persistence: None,
        ..ProptestConfig::default()
    }
}

proptest! {
    #![proptest_config(proptest_config())]

    /// The user load of the serving tasks changes, with equal or different phases on the minions,
    /// and measurements are noisy. Whatever the best-effort image adds, its slope must be known
    /// after some seconds: with a wrong slope, harmless tasks are slowed down or users see high
    /// latency.
    #[test]
    fn slopes_are_learned_while_user_loads_change(
        slope in 0.0_f64..1.2,
        lag in prop_oneof![Just(0.0), 0.0_f64..1.5],
        minions in 1_u32..8,
        noise in 0.0_f64..0.03,
    ) {
        let model = Simulation { minions, lag, slope, noise }.run(20_000);
        let known = Simulation::learned_slope(&model);
        prop_assert!((known - slope).abs() < 0.25, "estimated slope {known}, true slope {slope}");
    }

    /// The user load of a group must be separated from the effect of best-effort tasks, even if the
    /// user load has a different phase on each minion.
    #[test]
    fn user_loads_are_separated(
        slope in 0.0_f64..1.2,
        lag in prop_oneof![Just(0.0), 0.5_f64..1.5],
        minions in 1_u32..8,
    ) {
        let simulation = Simulation { minions, lag, slope, noise: 0.01 };
        let model = simulation.run(20_000);
        for minion in 0..minions {
            let estimated = model.user_utilization(&Simulation::serving_image(), &Simulation::group(minion));
            let expected = simulation.user_utilization(minion, 20_000 - MEASUREMENT_INTERVAL_MS);
            prop_assert!((estimated - expected).abs() < 0.12, "estimated user load {estimated}, true user load {expected}");
        }
    }

    /// A successor that restores a snapshot must have the same slopes as its predecessor.
    #[test]
    fn successor_restores_the_slopes(slope in 0.0_f64..1.2) {
        let first = Simulation { minions: 3, lag: 0.0, slope, noise: 0.0 }.run(20_000);
        let mut second = InterferenceModel::default();
        second.restore(&first.snapshot());
        let change = Simulation::learned_slope(&first) - Simulation::learned_slope(&second);
        prop_assert!(change.abs() < 0.02);
    }

    /// Slopes must stay finite whatever values a damaged snapshot holds.
    #[test]
    fn invalid_pairs_are_ignored(slope in any::<f64>(), deviation in any::<f64>()) {
        let (serving, best_effort) = (Simulation::serving_image(), Simulation::best_effort_image());
        let pairs = vec![InterferencePair { serving, best_effort, slope, deviation }];
        let mut model = InterferenceModel::default();
        model.restore(&InterferenceSnapshot { pairs, idle_tail_latency_ratios: Vec::new() });
        prop_assert!(Simulation::learned_slope(&model).is_finite());
    }

    /// Speed limits must be valid shares, and must keep the utilization added to each group within
    /// its headroom as far as slowing down best-effort images can achieve it.
    #[test]
    fn speed_limits_keep_to_the_headroom(
        headroom in proptest::collection::vec(-0.3_f64..0.6, 1..4),
        images in proptest::collection::vec((1.0_f64..9_000.0, proptest::collection::vec(0.0_f64..0.6, 3)), 0..5),
    ) {
        let loads: Vec<FullSpeedLoad> = images
            .into_iter()
            .map(|(milli_cpus, added_utilization)| FullSpeedLoad { milli_cpus, added_utilization })
            .collect();
        let shares = speed_limits(&headroom, &loads);
        prop_assert!(shares.iter().all(|share| (0.0..=1.0).contains(share)));
        for (group, headroom) in headroom.iter().enumerate() {
            let added: f64 =
                loads.iter().zip(&shares).map(|(p, s)| p.added_utilization[group] * s).sum();
            prop_assert!(added <= headroom.max(0.0) + 1e-9, "{added} added to headroom {headroom}");
        }
    }
}

/// A best-effort task that runs rarely shows its effect mainly by the fall of the tail latency when
/// the task ends. If the slope were not learned from that fall, an image that interferes strongly
/// would count as harmless.
#[test]
fn slope_is_learned_from_ends_alone() {
    let mut model = InterferenceModel::default();
    let used = |share| BTreeMap::from([(Simulation::best_effort_image(), share)]);
    let (image, group) = (Simulation::serving_image(), Simulation::group(0));
    model.observe(&image, &group, IDLE_TAIL_LATENCY_RATIO, &used(0.0), 0);
    for run in 1..20 {
        let at_ms = run * 60_000;
        model.observe(&image, &group, IDLE_TAIL_LATENCY_RATIO / 0.4, &used(0.25), at_ms);
        model.observe(
            &image,
            &group,
            IDLE_TAIL_LATENCY_RATIO / 0.6,
            &used(0.0),
            at_ms + MEASUREMENT_INTERVAL_MS,
        );
    }
    let slope = Simulation::learned_slope(&model);
    assert!((slope - 0.8).abs() < 0.08, "{slope}");
}

/// Of two best-effort images, only the first slows down the serving tasks. Limiting the second as
/// well would delay the tasks of that image without any benefit.
#[test]
fn harmless_image_is_not_limited() {
    let harmful = FullSpeedLoad { milli_cpus: 4_000.0, added_utilization: vec![0.3] };
    let harmless = FullSpeedLoad { milli_cpus: 4_000.0, added_utilization: vec![0.0] };
    assert_eq!(speed_limits(&[0.15], &[harmful, harmless]), [0.5, 1.0]);
}
