//! Which agent a request goes to, and which agents get none.

mod requests_support;

use std::collections::{HashMap, HashSet};

use geraniumpost_core::Millis;
use geraniumpost_core::requests::{
    AgentView, EjectionChange, EjectionLimits, Ejector, Location, NoAgent, Router, RoutingQuery,
    RoutingReason, Snapshot,
};
use geraniumpost_schema::{AgentState, Load, Name};
use proptest::prelude::*;
use rand::SeedableRng;
use rand::rngs::SmallRng;
use requests_support::{agent, cases, fleet, here};

fn load(in_flight: u32, service_us: u64) -> Load {
    Load { in_flight, service_us, ..Load::default() }
}

/// Ejects an agent by failures and returns the last change.
fn fail(ejector: &mut Ejector, snapshot: &Snapshot, name: &str, now: u64) -> EjectionChange {
    let (service, agent) = (snapshot.service("filing").unwrap(), snapshot.agent(name).unwrap());
    let _ = agent.counters().record_result(false);
    ejector.record(service, agent, false, Millis(now))
}

#[derive(Debug, Clone)]
struct Sketch {
    domain: u8,
    draining: bool,
    connected: bool,
    tried: bool,
    in_flight: u32,
    service_us: u64,
}

fn sketch() -> impl Strategy<Value = Sketch> {
    let often = proptest::bool::weighted;
    (0..3u8, often(0.2), often(0.8), often(0.3), 0..20u32, 0..50_000u64).prop_map(
        |(domain, draining, connected, tried, in_flight, service_us)| Sketch {
            domain,
            draining,
            connected,
            tried,
            in_flight,
            service_us,
        },
    )
}

fn build(index: usize, sketch: &Sketch) -> AgentView {
    let place = match sketch.domain {
        0 => here(),
        1 => Location::new("lima", "callao"),
        _ => Location::new("cusco", "centro"),
    };
    let state = if sketch.draining { AgentState::Draining } else { AgentState::Ready };
    let view =
        agent(format!("a{index}")).at_location(place).state(state).connected(sketch.connected);
    view.counters().record_load(&load(sketch.in_flight, sketch.service_us), Millis(0));
    view
}

proptest! {
    #[test]
    fn chooses_like_a_scan_may(
        sketches in prop::collection::vec(sketch(), 1..20),
        seed in any::<u64>(),
    ) {
        let views = sketches.iter().enumerate().map(|(index, one)| build(index, one));
        let snapshot = Snapshot::new(views, &here());
        let service = snapshot.service("filing").unwrap();
        let names = |keep: fn(&Sketch) -> bool| -> Vec<Name> {
            let kept = sketches.iter().enumerate().filter(|(_, one)| keep(one));
            kept.map(|(index, _)| Name::from(format!("a{index}"))).collect()
        };
        let tried = names(|one| one.tried);
        let usable = names(|one| !one.tried && !one.draining && one.connected);
        let nearest = sketches.iter().filter(|s| !s.tried && !s.draining && s.connected)
            .map(|one| one.domain).min();
        let ask = RoutingQuery::new(Millis(0)).tried(&tried);
        let choice = Router::default().choose(service, &ask, &mut SmallRng::seed_from_u64(seed));
        let Ok(choice) = choice else {
            prop_assert!(usable.is_empty());
            return Ok(());
        };
        prop_assert!(usable.contains(choice.agent().name()));
        let cheapest = choice.candidates().min_by_key(|one| one.cost_us()).unwrap();
        prop_assert_eq!(cheapest.agent().name(), choice.agent().name());
        let domain = |name: &Name| sketches[name[1..].parse::<usize>().unwrap()].domain;
        prop_assert!(choice.candidates().any(|one| Some(domain(one.agent().name())) == nearest));
        let distinct: HashSet<&Name> = choice.candidates().map(|one| one.agent().name()).collect();
        prop_assert_eq!(distinct.len(), choice.candidates().count());
    }

    #[test]
    fn ejects_like_a_full_history(results in prop::collection::vec((0..4usize, any::<bool>()), 1..300)) {
        let snapshot = fleet(4);
        let service = snapshot.service("filing").unwrap();
        let limits = EjectionLimits::new().most_permille(1_000).backoff_ms(1_000_000, 1_000_000);
        let mut ejector = Ejector::new(limits);
        let mut histories: HashMap<usize, Vec<bool>> = HashMap::new();
        for (index, success) in results {
            let history = histories.entry(index).or_default();
            history.push(success);
            let failures = history.iter().filter(|&&ok| !ok).count();
            let streak = history.iter().rev().take_while(|&&ok| !ok).count();
            let bad = streak >= 5 || (history.len() >= 20 && failures * 2 >= history.len());
            let agent = snapshot.agent(&format!("a{index}")).unwrap();
            let was = agent.counters().is_ejected();
            if agent.counters().record_result(success) {
                ejector.record(service, agent, success, Millis(1));
            }
            prop_assert_eq!(agent.counters().is_ejected(), was || (bad && !success));
        }
    }

    #[test]
    fn never_ejects_more_than_the_cap(
        count in 1..12usize,
        failures in prop::collection::vec((0..12usize, 0..500u64), 1..200),
    ) {
        let snapshot = fleet(count);
        let mut ejector = Ejector::default();
        let mut now = 0;
        for (index, ms) in failures {
            now += ms;
            fail(&mut ejector, &snapshot, &format!("a{}", index % count), now);
            let ejected = snapshot.agents().filter(|one| one.counters().is_ejected()).count();
            let most = if count < 2 { 0 } else { (count * 340 / 1000).max(1) };
            prop_assert!(ejected <= most, "{ejected} of {count}");
        }
    }
}

/// All agents are alike, and one entry sends a thousand requests that all stay under way. No agent
/// may get a herd of them: each request counts at once, without waiting for a report.
#[test]
fn stale_reports_send_no_herd() {
    let snapshot = fleet(11);
    let service = snapshot.service("filing").unwrap();
    let mut rng = SmallRng::seed_from_u64(5);
    let ask = RoutingQuery::new(Millis(400));
    let guards: Vec<_> = (0..1_100)
        .map(|_| Router::default().choose(service, &ask, &mut rng).unwrap())
        .map(|choice| choice.agent().counters().begin_request())
        .collect();
    let most = snapshot.agents().map(|one| one.counters().in_flight()).max().unwrap();
    assert!(most <= 105, "{most}");
    drop(guards);
    assert!(snapshot.agents().all(|one| one.counters().in_flight() == 0));
}

/// How often each agent is chosen in 1,000 decisions at `now`, none of which stays in flight.
fn chosen(snapshot: &Snapshot, now: u64) -> HashMap<Name, usize> {
    let service = snapshot.service("filing").unwrap();
    let mut rng = SmallRng::seed_from_u64(1);
    let mut counts = HashMap::new();
    for _ in 0..1_000 {
        let ask = RoutingQuery::new(Millis(now));
        let choice = Router::default().choose(service, &ask, &mut rng).unwrap();
        *counts.entry(choice.agent().name().clone()).or_default() += 1;
    }
    counts
}

fn check_two(loads: [Load; 2], now: u64, first: std::ops::RangeInclusive<usize>) {
    let snapshot = fleet(2);
    for (name, load) in ["a0", "a1"].into_iter().zip(loads) {
        snapshot.agent(name).unwrap().counters().record_load(&load, Millis(0));
    }
    let counts = chosen(&snapshot, now);
    let got = counts.get("a0").copied().unwrap_or(0);
    assert!(first.contains(&got), "{got} of 1000");
}

// An agent reported "idle" once, or a service time that was short by chance, and has not reported
// since. All entries believe the same and send everything there until its next report.
cases! { check_two;
    a_fresh_report_of_idleness_is_believed:
        [load(0, 10_000), load(20, 10_000)], 0, 1_000..=1_000;
    an_old_report_of_idleness_is_not_believed:
        [load(0, 10_000), load(20, 10_000)], 500, 400..=600;
    a_chance_difference_of_service_times_counts_for_nothing:
        [load(4, 8_000), load(4, 12_000)], 0, 400..=600;
    a_slow_minion_is_avoided: [load(4, 8_000), load(4, 40_000)], 500, 1_000..=1_000;
    a_report_without_service_time_does_not_look_fast:
        [load(4, 0), load(4, 10_000)], 500, 400..=600;
}

/// Sixteen entries hold the same second-old reports of eleven agents. Each routes a hundred requests
/// before the next report; together they must not flock to the agents that looked best.
#[test]
fn entries_with_equal_reports_do_not_flock() {
    let mut totals: HashMap<Name, u32> = HashMap::new();
    for entry in 0..16 {
        let snapshot = fleet(11);
        for one in snapshot.agents() {
            let number: u32 = one.name()[1..].parse().unwrap();
            let report = load(number * 5 % 11, 8_000 + u64::from(number) * 500);
            one.counters().record_load(&report, Millis(0));
        }
        let service = snapshot.service("filing").unwrap();
        let mut rng = SmallRng::seed_from_u64(entry);
        for _ in 0..100 {
            let ask = RoutingQuery::new(Millis(1_000));
            let choice = Router::default().choose(service, &ask, &mut rng).unwrap();
            *totals.entry(choice.agent().name().clone()).or_default() += 1;
        }
    }
    let most = totals.values().max().unwrap();
    let mean = 1_600.0 / 11.0;
    assert!(f64::from(*most) < 1.4 * mean, "{totals:?}");
}

/// The own domain's agents run one request each and the others none. A request that leaves the
/// failure domain for so little costs its caller half a millisecond each way, and ties it to the
/// fate of two domains.
#[test]
fn the_own_domain_is_kept_while_it_is_free() {
    let far = |n| agent(format!("far{n}")).at_location(Location::new("lima", "callao"));
    let near = |n| agent(format!("near{n}"));
    let snapshot = Snapshot::new((0..3).map(near).chain((0..8).map(far)), &here());
    for one in snapshot.agents() {
        let in_flight = u32::from(one.location() == &here());
        one.counters().record_load(&load(in_flight, 5_000), Millis(0));
    }
    let mut rng = SmallRng::seed_from_u64(1);
    for _ in 0..200 {
        let ask = RoutingQuery::new(Millis(0));
        let service = snapshot.service("filing").unwrap();
        let choice = Router::default().choose(service, &ask, &mut rng).unwrap();
        assert_eq!(choice.agent().location(), &here());
    }
}

/// The own failure domain's agent has a queue of a second and another domain's agent is idle. The
/// way there costs half a millisecond; staying would cost the caller the second.
#[test]
fn the_own_domain_is_left_when_it_costs() {
    let far = agent("far").at_location(Location::new("lima", "callao"));
    let snapshot = Snapshot::new([agent("near"), far], &here());
    let service = snapshot.service("filing").unwrap();
    let mut rng = SmallRng::seed_from_u64(1);
    let chosen = |rng: &mut SmallRng| {
        let choice = Router::default().choose(service, &RoutingQuery::new(Millis(0)), rng).unwrap();
        choice.agent().name().to_string()
    };
    for name in ["near", "far"] {
        snapshot.agent(name).unwrap().counters().record_load(&load(0, 2_000), Millis(0));
    }
    assert_eq!(chosen(&mut rng), "near");
    snapshot.agent("near").unwrap().counters().record_load(&load(800, 10_000), Millis(0));
    assert_eq!(chosen(&mut rng), "far");
}

/// A minion fails everything in no time and so is always idle. Unless it is taken out, it draws
/// most of the requests, and most callers see an error although ten good minions are there.
#[test]
fn a_fast_failer_is_ejected_and_probed_less_and_less() {
    let snapshot = fleet(11);
    let mut ejector = Ejector::default();
    for _ in 0..4 {
        assert_eq!(fail(&mut ejector, &snapshot, "a3", 0), EjectionChange::None);
    }
    let mut now = 0;
    for (ejections, pause) in [(1, 1_000), (2, 2_000), (3, 4_000), (4, 8_000), (5, 16_000)] {
        let expected = EjectionChange::Ejected { probe_at: Millis(now + pause), ejections };
        assert_eq!(fail(&mut ejector, &snapshot, "a3", now), expected);
        assert_eq!(fail(&mut ejector, &snapshot, "a3", now + 1), EjectionChange::None);
        now += pause;
        assert!(snapshot.agent("a3").unwrap().counters().claim_probe(Millis(now), true));
    }
}

/// All minions fail, because a customer's requests are broken. Ejecting all would turn its errors
/// into an outage for every other customer.
#[test]
fn not_all_agents_are_ejected() {
    let snapshot = fleet(11);
    let mut ejector = Ejector::default();
    let mut changes = Vec::new();
    for _ in 0..9 {
        for index in 0..11 {
            changes.push(fail(&mut ejector, &snapshot, &format!("a{index}"), 0));
        }
    }
    let ejected = snapshot.agents().filter(|one| one.counters().is_ejected()).count();
    let capped = changes.iter().filter(|&&change| change == EjectionChange::Capped).count();
    assert_eq!((ejected, capped), (3, 8), "each of the others is logged once");
}

/// An ejected agent is tried with one request. Sent at once by every waiting request, the probes
/// would be the herd that the ejection was to prevent; a badge print should not be the probe if
/// anything else can be.
#[test]
fn one_harmless_request_probes() {
    let snapshot = fleet(3);
    let mut ejector = Ejector::default();
    for _ in 0..5 {
        fail(&mut ejector, &snapshot, "a1", 0);
    }
    let snapshot = Snapshot::new(snapshot.agents().map(|one| AgentView::clone(one)), &here());
    let service = snapshot.service("filing").unwrap();
    let mut rng = SmallRng::seed_from_u64(2);
    let mut probes = |now, harmless| {
        let ask = RoutingQuery::new(Millis(now)).retryable(harmless);
        let mut choose = || Router::default().choose(service, &ask, &mut rng).unwrap();
        (0..50).map(|_| choose()).filter(|choice| choice.reason() == RoutingReason::Probe).count()
    };
    assert_eq!(probes(999, true), 0);
    assert_eq!(probes(1_000, false), 0);
    assert_eq!(probes(1_000, true), 1);
    assert_eq!(probes(8_100, false), 1);
}

/// Many threads route at the moment when a probe is due. Two of them probing would risk two callers'
/// requests on a minion that most likely still fails.
#[test]
fn one_thread_probes() {
    let snapshot = fleet(2);
    let mut ejector = Ejector::default();
    for _ in 0..5 {
        fail(&mut ejector, &snapshot, "a1", 0);
    }
    for due in [1_000, 6_000, 11_000] {
        let claim = || {
            let gauge = snapshot.agent("a1").unwrap().counters();
            (0..1_000).filter(|_| gauge.claim_probe(Millis(due), true)).count()
        };
        let probes: usize = std::thread::scope(|scope| {
            let threads: Vec<_> = (0..4).map(|_| scope.spawn(claim)).collect();
            threads.into_iter().map(|thread| thread.join().unwrap()).sum()
        });
        assert_eq!(probes, 1, "at {due} ms");
    }
}

/// One of two agents is ejected and the other one dies. The ejected one may still answer, and
/// refusing outright would be worse for the caller.
#[test]
fn an_ejected_agent_is_the_last_resort() {
    let snapshot = fleet(2);
    let mut ejector = Ejector::default();
    for _ in 0..5 {
        fail(&mut ejector, &snapshot, "a1", 0);
    }
    let left = snapshot.agent("a1").unwrap();
    let snapshot = Snapshot::new([AgentView::clone(left)], &here());
    let service = snapshot.service("filing").unwrap();
    let mut rng = SmallRng::seed_from_u64(2);
    let choice =
        Router::default().choose(service, &RoutingQuery::new(Millis(1)), &mut rng).unwrap();
    assert_eq!(choice.reason(), RoutingReason::LastResort);
    let tried = ["a1".into()];
    let ask = RoutingQuery::new(Millis(1)).tried(&tried);
    assert_eq!(Router::default().choose(service, &ask, &mut rng).unwrap_err(), NoAgent::AllTried);
}

/// A minion was broken and has been repaired: it must get its share again, and be forgiven.
#[test]
fn a_repaired_agent_is_restored() {
    let snapshot = fleet(3);
    let (service, agent) = (snapshot.service("filing").unwrap(), snapshot.agent("a0").unwrap());
    let mut ejector = Ejector::default();
    for _ in 0..5 {
        fail(&mut ejector, &snapshot, "a0", 0);
    }
    assert_eq!(ejector.record(service, agent, true, Millis(10)), EjectionChange::None);
    assert_eq!(ejector.record(service, agent, true, Millis(1_000)), EjectionChange::Restored);
    assert!(agent.is_routable());
    for _ in 0..4 {
        fail(&mut ejector, &snapshot, "a0", 60_000);
    }
    let change = fail(&mut ejector, &snapshot, "a0", 60_000);
    assert_eq!(change, EjectionChange::Ejected { probe_at: Millis(61_000), ejections: 1 });
}
