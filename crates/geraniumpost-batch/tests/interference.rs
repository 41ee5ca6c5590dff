//! What gauges tell of images that slow each other, and what follows for paces.

use std::collections::BTreeMap;
use std::f64::consts::TAU;

use geraniumpost_batch::interference::{InterferenceModel, Pressure, ServingGroup, speed_limits};
use geraniumpost_batch::{InterferencePair, InterferenceSnapshot, JobId, TaskId};
use geraniumpost_schema::Name;
use proptest::prelude::*;
use proptest::test_runner::RngSeed;

/// Tail of the idle image, in bounds.
const IDLE: f64 = 0.2;
/// Time between two gauges of a minion, in milliseconds.
const GAUGE_MS: u64 = 400;
/// Time in which own loads rise and fall once, in milliseconds.
const SWING_MS: f64 = 14_000.0;
/// Share of a minion that the filling image uses while it works.
const SHARE: f64 = 0.2;

/// Minions that serve one step, and one filling image that comes and goes on each.
struct Served {
    minions: u32,
    /// By how much the swing of each minion's own load lags behind the one before it, in radians.
    lag: f64,
    /// Utilization that the filling image would add with all of a minion.
    slope: f64,
    /// How far gauges lie off by chance.
    rough: f64,
}

impl Served {
    fn image() -> Name {
        Name::from("serving")
    }

    fn filling() -> Name {
        Name::from("filling")
    }

    fn group(minion: u32) -> ServingGroup {
        let step = TaskId { job: JobId(1), occurrence: 0, step: 0, index: 0 };
        ServingGroup::of(step, &Name::from(format!("m{minion}")))
    }

    fn own(&self, minion: u32, at_ms: u64) -> f64 {
        let phase = TAU * at_ms as f64 / SWING_MS + self.lag * f64::from(minion);
        0.45 + 0.2 * phase.sin()
    }

    /// Lets all minions show gauges for so long, and returns what was learnt.
    fn watch(&self, ms: u64) -> InterferenceModel {
        let mut learnt = InterferenceModel::default();
        // One gauge of an idle task, of another step, tells the tail that the image has then.
        let step = TaskId { job: JobId(2), occurrence: 0, step: 0, index: 0 };
        let idle = ServingGroup::of(step, &Name::from("idle"));
        learnt.observe(&Self::image(), &idle, IDLE, &BTreeMap::new(), 0);
        for at_ms in (GAUGE_MS..ms).step_by(GAUGE_MS as usize) {
            for minion in 0..self.minions {
                let works = (at_ms / 2_000 + u64::from(minion)).is_multiple_of(2);
                let share = if works { SHARE } else { 0.0 };
                let chance = (at_ms as f64 * 1.7 + f64::from(minion) * 2.3).sin();
                let busy = self.own(minion, at_ms) + self.slope * share + self.rough * chance;
                let used = BTreeMap::from([(Self::filling(), share)]);
                let tail = IDLE / (1.0 - busy.min(0.97));
                learnt.observe(&Self::image(), &Self::group(minion), tail, &used, at_ms);
            }
        }
        learnt
    }

    fn learnt_slope(learnt: &InterferenceModel) -> f64 {
        learnt.added_utilization(&Self::image(), &Self::filling(), 1.0)
    }
}

fn config() -> ProptestConfig {
    ProptestConfig {
        rng_seed: RngSeed::Fixed(602),
        failure_persistence: None,
        ..ProptestConfig::default()
    }
}

proptest! {
    #![proptest_config(config())]

    /// Own loads swing, alike on all minions or each by itself, and gauges are rough. Whatever the filling
    /// image adds, its slope is known after some seconds: a wrong one slows down who does no harm, or lets
    /// users wait.
    #[test]
    fn slopes_are_learnt_beside_swinging_loads(
        slope in 0.0_f64..1.2,
        lag in prop_oneof![Just(0.0), 0.0_f64..1.5],
        minions in 1_u32..8,
        rough in 0.0_f64..0.03,
    ) {
        let learnt = Served { minions, lag, slope, rough }.watch(20_000);
        let known = Served::learnt_slope(&learnt);
        prop_assert!((known - slope).abs() < 0.25, "{known}, really {slope}");
    }

    /// The load that users cause is told apart from what fills beside them, also where each minion's
    /// users come at other times.
    #[test]
    fn own_loads_are_told_apart(
        slope in 0.0_f64..1.2,
        lag in prop_oneof![Just(0.0), 0.5_f64..1.5],
        minions in 1_u32..8,
    ) {
        let served = Served { minions, lag, slope, rough: 0.01 };
        let learnt = served.watch(20_000);
        for minion in 0..minions {
            let own = learnt.own_utilization(&Served::image(), &Served::group(minion));
            let really = served.own(minion, 20_000 - GAUGE_MS);
            prop_assert!((own - really).abs() < 0.12, "{own}, really {really}");
        }
    }

    /// A successor expects the same harm as its predecessor.
    #[test]
    fn successor_knows_the_slopes(slope in 0.0_f64..1.2) {
        let first = Served { minions: 3, lag: 0.0, slope, rough: 0.0 }.watch(20_000);
        let mut second = InterferenceModel::default();
        second.restore(&first.snapshot());
        let change = Served::learnt_slope(&first) - Served::learnt_slope(&second);
        prop_assert!(change.abs() < 0.02);
    }

    /// Whatever stands in a damaged record, slopes stay numbers.
    #[test]
    fn senseless_pairs_change_nothing(slope in any::<f64>(), deviation in any::<f64>()) {
        let (serving, filling) = (Served::image(), Served::filling());
        let pairs = vec![InterferencePair { serving, best_effort: filling, slope, deviation }];
        let mut learnt = InterferenceModel::default();
        learnt.restore(&InterferenceSnapshot { pairs, idle_tails: Vec::new() });
        prop_assert!(Served::learnt_slope(&learnt).is_finite());
    }

    /// Whatever fills, no group is given more than it can bear as long as paces can prevent it, and nobody
    /// is told a pace that is none.
    #[test]
    fn paces_keep_to_the_room(
        room in proptest::collection::vec(-0.3_f64..0.6, 1..4),
        images in proptest::collection::vec((1.0_f64..9_000.0, proptest::collection::vec(0.0_f64..0.6, 3)), 0..5),
    ) {
        let pressures: Vec<Pressure> =
            images.into_iter().map(|(processors, adds)| Pressure { processors, added_utilization: adds }).collect();
        let shares = speed_limits(&room, &pressures);
        prop_assert!(shares.iter().all(|share| (0.0..=1.0).contains(share)));
        for (group, room) in room.iter().enumerate() {
            let added: f64 = pressures.iter().zip(&shares).map(|(p, s)| p.added_utilization[group] * s).sum();
            prop_assert!(added <= room.max(0.0) + 1e-9, "{added} in {room}");
        }
    }
}

/// A task that seldom runs is mostly seen as it ends. The tail falls with it, and that alone must tell who
/// slowed the users, or an image that disturbs hard passes for harmless.
#[test]
fn ends_alone_tell_the_slope() {
    let mut learnt = InterferenceModel::default();
    let used = |share| BTreeMap::from([(Served::filling(), share)]);
    let (image, group) = (Served::image(), Served::group(0));
    learnt.observe(&image, &group, IDLE, &used(0.0), 0);
    for round in 1..20 {
        let at_ms = round * 60_000;
        learnt.observe(&image, &group, IDLE / 0.4, &used(0.25), at_ms);
        learnt.observe(&image, &group, IDLE / 0.6, &used(0.0), at_ms + GAUGE_MS);
    }
    let slope = Served::learnt_slope(&learnt);
    assert!((slope - 0.8).abs() < 0.08, "{slope}");
}

/// Of two images that fill, one disturbs the users and the other does not. Slowing both down would cost the
/// second one's users time and bring the first ones nothing.
#[test]
fn who_does_no_harm_keeps_its_pace() {
    let hard = Pressure { processors: 4_000.0, added_utilization: vec![0.3] };
    let harmless = Pressure { processors: 4_000.0, added_utilization: vec![0.0] };
    assert_eq!(speed_limits(&[0.15], &[hard, harmless]), [0.5, 1.0]);
}
