//! Smoke tests of routing, membership, ejection, queueing and the attempt ledger.

mod requests_support;

use assert_matches::assert_matches;
use geraniumpost_core::requests::{
    Admission, AgentView, AskReply, AttemptLedger, EjectionChange, Ejector, FairQueue,
    LedgerLimits, Location, Membership, MembershipChange, MembershipLimits, NoAgent, QueueAction,
    QueueLimits, QueuedRequest, Refusal, Router, RoutingQuery, Snapshot,
};
use geraniumpost_core::{Micros, Millis};
use geraniumpost_schema::{AgentState, Heartbeat, Name, RequestId};
use rand::SeedableRng;
use rand::rngs::SmallRng;

fn heartbeat(agent: &str, incarnation: u64, sequence: u64, state: AgentState) -> Heartbeat {
    Heartbeat { state, ..requests_support::heartbeat(agent, incarnation, sequence) }
}

fn agents(count: u64) -> Vec<AgentView> {
    let location = || Location::new("lima", "surco");
    (0..count)
        .map(|n| AgentView::new(format!("a{n}"), n).service("filing").at_location(location()))
        .collect()
}

const fn id(sequence: u64) -> RequestId {
    RequestId { entry: 1, sequence }
}

#[test]
fn a_request_never_goes_twice_to_one_agent() {
    let snapshot = Snapshot::new(agents(3), &Location::new("lima", "surco"));
    let service = snapshot.service("filing").unwrap();
    let mut rng = SmallRng::seed_from_u64(1);
    let mut tried: Vec<Name> = Vec::new();
    for _ in 0..3 {
        let query = RoutingQuery::new(Millis(0)).tried(&tried);
        let choice = Router::default().choose(service, &query, &mut rng).unwrap();
        assert!(!tried.contains(choice.agent().name()));
        tried.push(choice.agent().name().clone());
    }
    let query = RoutingQuery::new(Millis(0)).tried(&tried);
    assert_matches!(Router::default().choose(service, &query, &mut rng), Err(NoAgent::AllTried));
}

#[test]
fn the_log_line_lists_the_candidates_and_the_reason() {
    let snapshot = Snapshot::new(agents(2), &Location::new("lima", "surco"));
    let service = snapshot.service("filing").unwrap();
    let query = RoutingQuery::new(Millis(0));
    let mut rng = SmallRng::seed_from_u64(3);
    let line = Router::default().choose(service, &query, &mut rng).unwrap().to_string();
    assert!(line.starts_with("agent=a"), "{line}");
    assert!(line.contains("why=cheapest considered=[a"), "{line}");
}

#[test]
fn an_agent_joins_drains_and_fails() {
    let here = Location::new("lima", "surco");
    let mut membership = Membership::new(here, MembershipLimits::new(500));
    assert_eq!(
        membership.record_heartbeat(&heartbeat("a", 7, 1, AgentState::Ready), Millis(0)),
        MembershipChange::Joined
    );
    assert!(membership.set_connected("a", 7, true));
    assert_eq!(membership.snapshot().service("filing").unwrap().routable_count(), 1);
    assert!(membership.mark_draining("a", 7));
    assert_eq!(membership.snapshot().service("filing").unwrap().routable_count(), 0);
    assert!(membership.tick(Millis(1_700)).is_empty());
    assert_eq!(membership.tick(Millis(1_800)), ["a".into()]);
    assert!(membership.snapshot().service("filing").is_none());
}

#[test]
fn an_ejected_agent_gets_one_probe_and_is_restored() {
    let snapshot = Snapshot::new(agents(3), &Location::new("lima", "surco"));
    let service = snapshot.service("filing").unwrap();
    let agent = snapshot.agent("a0").unwrap();
    let mut ejector = Ejector::default();
    for _ in 0..4 {
        ejector.record(service, agent, false, Millis(0));
    }
    let change = ejector.record(service, agent, false, Millis(0));
    assert_matches!(change, EjectionChange::Ejected { probe_at: Millis(1_000), ejections: 1 });
    assert!(!agent.counters().claim_probe(Millis(999), true));
    assert!(agent.counters().claim_probe(Millis(1_000), true));
    assert!(!agent.counters().claim_probe(Millis(1_001), true));
    let change = ejector.record(service, agent, true, Millis(1_010));
    assert_eq!(change, EjectionChange::Restored);
    assert!(agent.is_routable());
}

#[test]
fn a_full_queue_refuses_with_a_retry_delay() {
    let mut queue = FairQueue::new(QueueLimits::new().slots(1).queue(1));
    let request = |n| QueuedRequest::new(id(n), "a", Millis(9_000), ());
    queue.offer(request(1), Millis(0));
    queue.finish(id(1), Micros(20_000), true, Millis(20));
    queue.offer(request(2), Millis(20));
    queue.offer(request(3), Millis(20));
    let refused = queue.offer(request(4), Millis(20));
    assert_matches!(
        &refused[..],
        [QueueAction::Refuse { refusal: Refusal::Overloaded, retry_after_ms: 40, .. }]
    );
}

#[test]
fn a_query_bars_an_attempt_that_has_not_started() {
    let mut ledger = AttemptLedger::<u32>::new(7, LedgerLimits::default());
    let none = Name::default();
    let barred = AskReply::NeverStarted { joined: Vec::new() };
    assert_eq!(ledger.ask(id(1), 7, Millis(0)), barred);
    assert_eq!(ledger.admit(id(1), &none, Millis(0)), Admission::Barred);
    assert_eq!(ledger.admit(id(2), &none, Millis(0)), Admission::Queue);
    assert_eq!(ledger.ask(id(2), 7, Millis(0)), barred);
    assert!(!ledger.start(id(2)));
}

#[test]
fn a_repeat_with_the_same_key_gets_the_first_answer() {
    let mut ledger = AttemptLedger::<u32>::new(7, LedgerLimits::default());
    let key = Name::from("k");
    assert_eq!(ledger.admit(id(1), &key, Millis(0)), Admission::Queue);
    assert_eq!(ledger.admit(id(2), &key, Millis(0)), Admission::Join(id(1)));
    assert!(ledger.start(id(1)));
    assert_eq!(ledger.finish(id(1), 42, 10, Millis(1)), [id(2)]);
    assert_eq!(ledger.admit(id(3), &key, Millis(1)), Admission::Replay(42));
    assert_eq!(ledger.ask(id(2), 7, Millis(1)), AskReply::Finished(42));
}
