//! Selection of the agent for a request, and ejection of failing agents.

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

/// Reports a failed attempt at the agent `name` to the ejector.
fn record_failure(
    ejector: &mut Ejector,
    snapshot: &Snapshot,
    name: &str,
    now: u64,
) -> EjectionChange {
    let (service, agent) = (snapshot.service("filing").unwrap(), snapshot.agent(name).unwrap());
    let _ = agent.counters().record_result(false);
    ejector.record(service, agent, false, Millis(now))
}

#[derive(Debug, Clone)]
struct AgentSpec {
    domain: u8,
    draining: bool,
    connected: bool,
    tried: bool,
    in_flight: u32,
    service_us: u64,
}

fn agent_spec() -> impl Strategy<Value = AgentSpec> {
    let weighted = proptest::bool::weighted;
    (0..3u8, weighted(0.2), weighted(0.8), weighted(0.3), 0..20u32, 0..50_000u64).prop_map(
        |(domain, draining, connected, tried, in_flight, service_us)| AgentSpec {
            domain,
            draining,
            connected,
            tried,
            in_flight,
            service_us,
        },
    )
}

fn agent_view(index: usize, agent_spec: &AgentSpec) -> AgentView {
    let location = match agent_spec.domain {
        0 => here(),
        1 => Location::new("lima", "callao"),
        _ => Location::new("cusco", "centro"),
    };
    let state = if agent_spec.draining { AgentState::Draining } else { AgentState::Ready };
    let view = agent(format!("a{index}"))
        .at_location(location)
        .state(state)
        .connected(agent_spec.connected);
    view.counters().record_load(&load(agent_spec.in_flight, agent_spec.service_us), Millis(0));
    view
}

proptest! {
    #[test]
    fn chooses_an_agent_that_a_full_scan_allows(
        agent_specs in prop::collection::vec(agent_spec(), 1..20),
        seed in any::<u64>(),
    ) {
        let views = agent_specs.iter().enumerate().map(|(index, spec)| agent_view(index, spec));
        let snapshot = Snapshot::new(views, &here());
        let service = snapshot.service("filing").unwrap();
        let names = |keep: fn(&AgentSpec) -> bool| -> Vec<Name> {
            let kept = agent_specs.iter().enumerate().filter(|(_, spec)| keep(spec));
            kept.map(|(index, _)| Name::from(format!("a{index}"))).collect()
        };
        let tried = names(|spec| spec.tried);
        let usable = names(|spec| !spec.tried && !spec.draining && spec.connected);
        let nearest = agent_specs.iter()
            .filter(|spec| !spec.tried && !spec.draining && spec.connected)
            .map(|spec| spec.domain).min();
        let query = RoutingQuery::new(Millis(0)).tried(&tried);
        let choice = Router::default().choose(service, &query, &mut SmallRng::seed_from_u64(seed));
        let Ok(choice) = choice else {
            prop_assert!(usable.is_empty());
            return Ok(());
        };
        prop_assert!(usable.contains(choice.agent().name()));
        let cheapest = choice.candidates().min_by_key(|candidate| candidate.cost_us()).unwrap();
        prop_assert_eq!(cheapest.agent().name(), choice.agent().name());
        let domain = |name: &Name| agent_specs[name[1..].parse::<usize>().unwrap()].domain;
        prop_assert!(
            choice.candidates()
                .any(|candidate| Some(domain(candidate.agent().name())) == nearest)
        );
        let distinct: HashSet<&Name> =
            choice.candidates().map(|candidate| candidate.agent().name()).collect();
        prop_assert_eq!(distinct.len(), choice.candidates().count());
    }

    #[test]
    fn ejection_matches_a_full_history(
        results in prop::collection::vec((0..4usize, any::<bool>()), 1..300),
    ) {
        let snapshot = fleet(4);
        let service = snapshot.service("filing").unwrap();
        let limits =
            EjectionLimits::new().max_ejected_permille(1_000).backoff_ms(1_000_000, 1_000_000);
        let mut ejector = Ejector::new(limits);
        let mut histories: HashMap<usize, Vec<bool>> = HashMap::new();
        for (index, success) in results {
            let history = histories.entry(index).or_default();
            history.push(success);
            let failures = history.iter().filter(|&&ok| !ok).count();
            let consecutive_failures = history.iter().rev().take_while(|&&ok| !ok).count();
            let exceeds_limits = consecutive_failures >= 5
                || (history.len() >= 20 && failures * 2 >= history.len());
            let agent = snapshot.agent(&format!("a{index}")).unwrap();
            let was_ejected = agent.counters().is_ejected();
            if agent.counters().record_result(success) {
                ejector.record(service, agent, success, Millis(1));
            }
            prop_assert_eq!(agent.counters().is_ejected(), was_ejected || (exceeds_limits && !success));
        }
    }

    #[test]
    fn never_ejects_more_than_the_limit(
        count in 1..12usize,
        failures in prop::collection::vec((0..12usize, 0..500u64), 1..200),
    ) {
        let snapshot = fleet(count);
        let mut ejector = Ejector::default();
        let mut now = 0;
        for (index, ms) in failures {
            now += ms;
            record_failure(&mut ejector, &snapshot, &format!("a{}", index % count), now);
            let ejected = snapshot.agents().filter(|agent| agent.counters().is_ejected()).count();
            let max = if count < 2 { 0 } else { (count * 340 / 1000).max(1) };
            prop_assert!(ejected <= max, "{ejected} of {count}");
        }
    }
}

/// All agents are equal, and one entry sends 1,100 requests that all remain in flight. No agent may
/// get many more than the others: each request must count immediately, without waiting for a
/// report.
#[test]
fn stale_reports_do_not_concentrate_requests() {
    let snapshot = fleet(11);
    let service = snapshot.service("filing").unwrap();
    let mut rng = SmallRng::seed_from_u64(5);
    let query = RoutingQuery::new(Millis(400));
    let guards: Vec<_> = (0..1_100)
        .map(|_| Router::default().choose(service, &query, &mut rng).unwrap())
        .map(|choice| choice.agent().counters().begin_request())
        .collect();
    let max = snapshot.agents().map(|agent| agent.counters().in_flight()).max().unwrap();
    assert!(max <= 105, "{max}");
    drop(guards);
    assert!(snapshot.agents().all(|agent| agent.counters().in_flight() == 0));
}

/// Number of times that each agent is chosen in 1,000 decisions at `now`, if none of the requests
/// remains in flight.
fn choice_counts(snapshot: &Snapshot, now: u64) -> HashMap<Name, usize> {
    let service = snapshot.service("filing").unwrap();
    let mut rng = SmallRng::seed_from_u64(1);
    let mut counts = HashMap::new();
    for _ in 0..1_000 {
        let query = RoutingQuery::new(Millis(now));
        let choice = Router::default().choose(service, &query, &mut rng).unwrap();
        *counts.entry(choice.agent().name().clone()).or_default() += 1;
    }
    counts
}

fn check_first_of_two(loads: [Load; 2], now: u64, expected_first: std::ops::RangeInclusive<usize>) {
    let snapshot = fleet(2);
    for (name, load) in ["a0", "a1"].into_iter().zip(loads) {
        snapshot.agent(name).unwrap().counters().record_load(&load, Millis(0));
    }
    let counts = choice_counts(&snapshot, now);
    let actual_first = counts.get("a0").copied().unwrap_or(0);
    assert!(expected_first.contains(&actual_first), "{actual_first} of 1000");
}

// An agent reported no requests, or a service time that was short by chance, and has not reported
// since. If the report were used unchanged, all entries would send their requests to the agent
// until its next report.
cases! { check_first_of_two;
    a_recent_idle_report_is_used:
        [load(0, 10_000), load(20, 10_000)], 0, 1_000..=1_000;
    an_old_idle_report_is_ignored:
        [load(0, 10_000), load(20, 10_000)], 500, 400..=600;
    a_small_difference_of_service_times_is_ignored:
        [load(4, 8_000), load(4, 12_000)], 0, 400..=600;
    a_slow_minion_is_avoided: [load(4, 8_000), load(4, 40_000)], 500, 1_000..=1_000;
    a_report_without_service_time_is_not_preferred:
        [load(4, 0), load(4, 10_000)], 500, 400..=600;
}

/// Sixteen entries have the same reports of eleven agents, one second old. Each routes a hundred
/// requests before the next report. In sum, these must not concentrate on the agents with the
/// lowest reported loads.
#[test]
fn entries_with_equal_reports_spread_their_requests() {
    let mut totals: HashMap<Name, u32> = HashMap::new();
    for entry in 0..16 {
        let snapshot = fleet(11);
        for agent in snapshot.agents() {
            let number: u32 = agent.name()[1..].parse().unwrap();
            let report = load(number * 5 % 11, 8_000 + u64::from(number) * 500);
            agent.counters().record_load(&report, Millis(0));
        }
        let service = snapshot.service("filing").unwrap();
        let mut rng = SmallRng::seed_from_u64(entry);
        for _ in 0..100 {
            let query = RoutingQuery::new(Millis(1_000));
            let choice = Router::default().choose(service, &query, &mut rng).unwrap();
            *totals.entry(choice.agent().name().clone()).or_default() += 1;
        }
    }
    let max = totals.values().max().unwrap();
    let mean = 1_600.0 / 11.0;
    assert!(f64::from(*max) < 1.4 * mean, "{totals:?}");
}

/// Each agent in the entry's failure domain runs one request, and the others are idle. Leaving the
/// failure domain for such a small difference costs the caller half a millisecond each way and
/// makes the request depend on two domains.
#[test]
fn the_local_domain_is_preferred_while_it_has_capacity() {
    let far = |n| agent(format!("far{n}")).at_location(Location::new("lima", "callao"));
    let near = |n| agent(format!("near{n}"));
    let snapshot = Snapshot::new((0..3).map(near).chain((0..8).map(far)), &here());
    for agent in snapshot.agents() {
        let in_flight = u32::from(agent.location() == &here());
        agent.counters().record_load(&load(in_flight, 5_000), Millis(0));
    }
    let mut rng = SmallRng::seed_from_u64(1);
    for _ in 0..200 {
        let query = RoutingQuery::new(Millis(0));
        let service = snapshot.service("filing").unwrap();
        let choice = Router::default().choose(service, &query, &mut rng).unwrap();
        assert_eq!(choice.agent().location(), &here());
    }
}

/// The agent in the entry's failure domain has a queue of one second, and an agent in another
/// domain is idle. The longer distance costs half a millisecond each way, which is less than the
/// wait.
#[test]
fn another_domain_is_used_when_the_local_one_is_slower() {
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

/// A minion that fails every request immediately is always idle. Unless it is ejected, it gets most
/// of the requests, and most callers get an error although ten healthy minions are available.
#[test]
fn a_failing_agent_is_ejected_and_probed_with_growing_delays() {
    let snapshot = fleet(11);
    let mut ejector = Ejector::default();
    for _ in 0..4 {
        assert_eq!(record_failure(&mut ejector, &snapshot, "a3", 0), EjectionChange::None);
    }
    let mut now = 0;
    for (ejections, delay_ms) in [(1, 1_000), (2, 2_000), (3, 4_000), (4, 8_000), (5, 16_000)] {
        let expected = EjectionChange::Ejected { probe_at: Millis(now + delay_ms), ejections };
        assert_eq!(record_failure(&mut ejector, &snapshot, "a3", now), expected);
        assert_eq!(record_failure(&mut ejector, &snapshot, "a3", now + 1), EjectionChange::None);
        now += delay_ms;
        assert!(snapshot.agent("a3").unwrap().counters().claim_probe(Millis(now), true));
    }
}

/// All minions fail because the requests of one customer are faulty. Ejecting all agents would
/// cause an outage for every other customer.
#[test]
fn not_all_agents_are_ejected() {
    let snapshot = fleet(11);
    let mut ejector = Ejector::default();
    let mut changes = Vec::new();
    for _ in 0..9 {
        for index in 0..11 {
            changes.push(record_failure(&mut ejector, &snapshot, &format!("a{index}"), 0));
        }
    }
    let ejected = snapshot.agents().filter(|agent| agent.counters().is_ejected()).count();
    let capped = changes.iter().filter(|&&change| change == EjectionChange::Capped).count();
    assert_eq!((ejected, capped), (3, 8), "each of the others is logged once");
}

/// An ejected agent must be probed with one request. If every request served as a probe, many would
/// fail. A badge print, which cannot be retried, may be the probe only if no retryable request is
/// available.
#[test]
fn one_retryable_request_serves_as_probe() {
    let snapshot = fleet(3);
    let mut ejector = Ejector::default();
    for _ in 0..5 {
        record_failure(&mut ejector, &snapshot, "a1", 0);
    }
    let snapshot = Snapshot::new(snapshot.agents().map(|agent| AgentView::clone(agent)), &here());
    let service = snapshot.service("filing").unwrap();
    let mut rng = SmallRng::seed_from_u64(2);
    let mut probes = |now, retryable| {
        let query = RoutingQuery::new(Millis(now)).retryable(retryable);
        let mut choose = || Router::default().choose(service, &query, &mut rng).unwrap();
        (0..50).map(|_| choose()).filter(|choice| choice.reason() == RoutingReason::Probe).count()
    };
    assert_eq!(probes(999, true), 0);
    assert_eq!(probes(1_000, false), 0);
    assert_eq!(probes(1_000, true), 1);
    assert_eq!(probes(8_100, false), 1);
}

/// Many threads route requests when a probe is due. If two of them sent a probe, two callers would
/// depend on a minion that probably still fails.
#[test]
fn only_one_thread_claims_a_probe() {
    let snapshot = fleet(2);
    let mut ejector = Ejector::default();
    for _ in 0..5 {
        record_failure(&mut ejector, &snapshot, "a1", 0);
    }
    for due in [1_000, 6_000, 11_000] {
        let claim = || {
            let counters = snapshot.agent("a1").unwrap().counters();
            (0..1_000).filter(|_| counters.claim_probe(Millis(due), true)).count()
        };
        let probes: usize = std::thread::scope(|scope| {
            let threads: Vec<_> = (0..4).map(|_| scope.spawn(claim)).collect();
            threads.into_iter().map(|thread| thread.join().unwrap()).sum()
        });
        assert_eq!(probes, 1, "at {due} ms");
    }
}

/// One of two agents is ejected and the other agent fails and departs. The ejected agent may still
/// answer, which is better for the caller than a certain refusal.
#[test]
fn an_ejected_agent_is_the_last_resort() {
    let snapshot = fleet(2);
    let mut ejector = Ejector::default();
    for _ in 0..5 {
        record_failure(&mut ejector, &snapshot, "a1", 0);
    }
    let remaining = snapshot.agent("a1").unwrap();
    let snapshot = Snapshot::new([AgentView::clone(remaining)], &here());
    let service = snapshot.service("filing").unwrap();
    let mut rng = SmallRng::seed_from_u64(2);
    let choice =
        Router::default().choose(service, &RoutingQuery::new(Millis(1)), &mut rng).unwrap();
    assert_eq!(choice.reason(), RoutingReason::LastResort);
    let tried = ["a1".into()];
    let query = RoutingQuery::new(Millis(1)).tried(&tried);
    assert_eq!(Router::default().choose(service, &query, &mut rng).unwrap_err(), NoAgent::AllTried);
}

/// A failing minion has been repaired. Its agent must get its share of requests again, and the
/// earlier ejection must not lengthen the probe delay of an ejection a minute later.
#[test]
fn a_repaired_agent_is_restored() {
    let snapshot = fleet(3);
    let (service, agent) = (snapshot.service("filing").unwrap(), snapshot.agent("a0").unwrap());
    let mut ejector = Ejector::default();
    for _ in 0..5 {
        record_failure(&mut ejector, &snapshot, "a0", 0);
    }
    assert_eq!(ejector.record(service, agent, true, Millis(10)), EjectionChange::None);
    assert_eq!(ejector.record(service, agent, true, Millis(1_000)), EjectionChange::Restored);
    assert!(agent.is_routable());
    for _ in 0..4 {
        record_failure(&mut ejector, &snapshot, "a0", 60_000);
    }
    let change = record_failure(&mut ejector, &snapshot, "a0", 60_000);
    assert_eq!(change, EjectionChange::Ejected { probe_at: Millis(61_000), ejections: 1 });
}

/// Guards against requests that are sent to an evacuated failure domain: by an ordinary choice, as a
/// probe of an ejected agent, or because no other agent is left.
#[test]
fn agents_in_evacuated_domains_are_not_chosen() {
    let agent = |name: &str, domain: &str| {
        AgentView::new(name, 1).service("filing").at_location(Location::new("lima", domain))
    };
    let snapshot = Snapshot::new([agent("a1", "surco"), agent("a2", "ate")], &here());
    let service = snapshot.service("filing").unwrap();
    let mut rng = SmallRng::seed_from_u64(3);
    let choose = |evacuated: &[Name], tried: &[Name], rng: &mut SmallRng| {
        let query = RoutingQuery::new(Millis(0)).evacuated_domains(evacuated).tried(tried);
        Router::default().choose(service, &query, rng).map(|choice| choice.agent().name().clone())
    };
    let evacuated = ["surco".into()];
    for _ in 0..20 {
        assert_eq!(choose(&evacuated, &[], &mut rng), Ok("a2".into()));
    }
    assert_eq!(choose(&evacuated, &["a2".into()], &mut rng), Err(NoAgent::AllTried));
    let all_evacuated = ["surco".into(), "ate".into()];
    assert_eq!(choose(&all_evacuated, &[], &mut rng), Err(NoAgent::NoneReady));
    let mut ejector = Ejector::new(EjectionLimits::default());
    for now in 0..40 {
        record_failure(&mut ejector, &snapshot, "a1", now);
    }
    let query = RoutingQuery::new(Millis(1_000_000)).evacuated_domains(&evacuated).retryable(true);
    let choice = Router::default().choose(service, &query, &mut rng).unwrap();
    assert_eq!(&**choice.agent().name(), "a2");
}
