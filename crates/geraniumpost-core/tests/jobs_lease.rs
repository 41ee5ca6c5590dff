//! The planner lease: acquisition, expiry, takeover and changes of its configured times.

use assert_matches::assert_matches;
use geraniumpost_core::Millis;
use geraniumpost_core::jobs::{
    LeaseAction, LeaseConfig, LeaseEvent, LeaseHolder, LeaseRole, PlannerLease, Takeover,
    TermRecord,
};

const CONFIG: LeaseConfig =
    LeaseConfig { ttl_ms: 6_000, poll_interval_ms: 2_000, outage_hold_ms: 60_000, hold_ms: 10_000 };

fn holder(number: u64) -> LeaseHolder {
    LeaseHolder::new(format!("entry-{number}").into(), number)
}

fn encoded(record: &TermRecord) -> Vec<u8> {
    serde_json::to_vec(record).expect("plain data")
}

/// Acquires the lease at `at` while the store holds the record `previous`.
fn acquire(lease: &mut PlannerLease, previous: Option<&TermRecord>, at: u64) -> Takeover {
    let now = Millis(at);
    assert_eq!(lease.handle(LeaseEvent::Tick, now), [LeaseAction::ReadAlive]);
    lease.handle(LeaseEvent::AliveRead(None), now);
    lease.handle(LeaseEvent::Granted(5), now);
    assert_eq!(lease.handle(LeaseEvent::Claimed(true), now), [LeaseAction::ReadTerm]);
    let found = previous.map(|record| (9, encoded(record)));
    let write = lease.handle(LeaseEvent::TermRead(found), now);
    assert_matches!(&write[..], [LeaseAction::WriteTerm { .. }]);
    let acquired = lease.handle(LeaseEvent::TermWritten(Some(10)), now);
    assert_matches!(&acquired[..], [LeaseAction::Acquired(takeover)] => takeover.clone())
}

fn acquired_lease() -> PlannerLease {
    let mut lease = PlannerLease::new(holder(1), CONFIG);
    acquire(&mut lease, None, 1_000);
    lease
}

#[test]
fn a_takeover_increments_the_term_and_names_the_predecessor() {
    let mut lease = PlannerLease::new(holder(2), CONFIG);
    let previous = TermRecord::first(holder(1), &CONFIG);
    let takeover = acquire(&mut lease, Some(&previous), 1_000);
    assert_eq!((takeover.term, takeover.earlier), (2, vec![holder(1)]));
    assert_eq!(lease.role(Millis(1_000)), LeaseRole::Leader { term: 2 });
}

// The VM of the lease holder is paused until the lease has expired. If the holder acted before it
// checked its clock, two planners would assign jobs.
#[test]
fn a_holder_paused_past_its_lease_loses_its_role() {
    let mut lease = acquired_lease();
    assert_eq!(lease.role(Millis(6_999)), LeaseRole::Leader { term: 1 });
    assert_eq!(lease.role(Millis(7_000)), LeaseRole::Disconnected { term: 1 });
    assert_eq!(lease.role(Millis(61_000)), LeaseRole::Follower);
    let actions = lease.handle(LeaseEvent::Tick, Millis(500_000));
    assert_matches!(&actions[..], [LeaseAction::Lost(_), LeaseAction::ReadAlive]);
}

// A renewal takes effect, but its response comes 3.5 s late. The store counts the lease from the
// renewal; a holder that counted from the response would assume a lease that has expired.
#[test]
fn a_renewal_counts_from_when_it_was_sent() {
    let mut lease = acquired_lease();
    let renewal = lease.handle(LeaseEvent::Tick, Millis(3_000));
    assert_eq!(renewal, [LeaseAction::KeepAlive { lease: 5 }]);
    lease.handle(LeaseEvent::KeptAlive(true), Millis(6_500));
    assert_eq!(lease.role(Millis(8_999)), LeaseRole::Leader { term: 1 });
    assert_eq!(lease.role(Millis(9_000)), LeaseRole::Disconnected { term: 1 });
}

// The store no longer knows a lease that the holder assumes valid, as after a store failure. The
// holder must stop assigning at once, while running tasks continue.
#[test]
fn a_lease_unknown_to_the_store_ends_assignment_at_once() {
    let mut lease = acquired_lease();
    lease.handle(LeaseEvent::Tick, Millis(3_000));
    lease.handle(LeaseEvent::KeptAlive(false), Millis(3_100));
    assert_eq!(lease.role(Millis(3_100)), LeaseRole::Disconnected { term: 1 });
}

// A store outage outlasts the lease, and no other process takes over. If the holder did not resume
// its own term, a takeover would disturb running tasks without need.
#[test]
fn a_holder_resumes_its_term_after_a_store_outage() {
    let mut lease = acquired_lease();
    let own = TermRecord::first(holder(1), &CONFIG);
    let at = Millis(30_000);
    assert_eq!(lease.handle(LeaseEvent::Tick, at), [LeaseAction::ReadAlive]);
    lease.handle(LeaseEvent::AliveRead(None), at);
    lease.handle(LeaseEvent::Granted(8), at);
    lease.handle(LeaseEvent::Claimed(true), at);
    let write = lease.handle(LeaseEvent::TermRead(Some((10, encoded(&own)))), at);
    assert_matches!(&write[..], [LeaseAction::WriteTerm { expected: Some(10), record }]
        if record.term == 1);
    assert_eq!(lease.handle(LeaseEvent::TermWritten(Some(11)), at), []);
    assert_eq!(lease.role(at), LeaseRole::Leader { term: 1 });
}

// The time in which the holder may grant agent leases ends while it rewrites its term after an
// outage. If the holder then started again under the old term, its empty planner would consider the
// stored records its own writes and overwrite them, and every accepted job would be lost.
#[test]
fn a_lost_term_is_not_resumed() {
    let mut lease = acquired_lease();
    let own = TermRecord::first(holder(1), &CONFIG);
    let at = Millis(60_000);
    lease.handle(LeaseEvent::Tick, at);
    lease.handle(LeaseEvent::AliveRead(None), at);
    lease.handle(LeaseEvent::Granted(8), at);
    lease.handle(LeaseEvent::Claimed(true), at);
    lease.handle(LeaseEvent::TermRead(Some((10, encoded(&own)))), at);
    let actions = lease.handle(LeaseEvent::TermWritten(Some(11)), Millis(61_500));
    assert_matches!(&actions[..], [LeaseAction::Lost(_)]);
    assert_eq!(lease.role(Millis(61_500)), LeaseRole::Follower);
}

// Another entry takes over while the holder is disconnected from the store. A holder that kept its
// term after the first read would continue to grant leases to agents that the new planner cannot
// reach, and delay the takeover of their tasks.
#[test]
fn a_holder_gives_up_its_term_when_another_process_plans() {
    let mut lease = acquired_lease();
    lease.handle(LeaseEvent::Tick, Millis(30_000));
    let actions =
        lease.handle(LeaseEvent::AliveRead(Some(b"entry-2#2 8".to_vec())), Millis(30_000));
    assert_matches!(&actions[..], [LeaseAction::Lost(_)]);
    assert_eq!(lease.role(Millis(30_000)), LeaseRole::Follower);
}

// The response to a claim is lost after the claim took effect. Without reading the key back, the
// region would have no planner until the claim expired, and again after each lost response.
#[test]
fn a_claim_with_a_lost_response_is_read_back() {
    let mut lease = PlannerLease::new(holder(1), CONFIG);
    let now = Millis(1_000);
    lease.handle(LeaseEvent::Tick, now);
    lease.handle(LeaseEvent::AliveRead(None), now);
    let claim = lease.handle(LeaseEvent::Granted(5), now);
    let token = assert_matches!(&claim[..], [LeaseAction::Claim { value, .. }] => value.clone());
    assert_eq!(lease.handle(LeaseEvent::CallFailed, now), [LeaseAction::ReadAlive]);
    let read = lease.handle(LeaseEvent::AliveRead(Some(token)), now);
    assert_eq!(read, [LeaseAction::ReadTerm]);
}

// A candidate is paused while it writes the term, until its claim has expired. Another process may
// be the planner by then, so the written term must not make the candidate the planner.
#[test]
fn a_candidate_paused_past_its_claim_does_not_become_planner() {
    let mut lease = PlannerLease::new(holder(1), CONFIG);
    let now = Millis(1_000);
    lease.handle(LeaseEvent::Tick, now);
    lease.handle(LeaseEvent::AliveRead(None), now);
    lease.handle(LeaseEvent::Granted(5), now);
    lease.handle(LeaseEvent::Claimed(true), now);
    lease.handle(LeaseEvent::TermRead(None), now);
    assert_eq!(lease.handle(LeaseEvent::TermWritten(Some(10)), Millis(7_000)), []);
    assert_eq!(lease.role(Millis(7_000)), LeaseRole::Follower);
}

// An operator lengthens the agent lease (`hold_ms`). The next planner waits as long as the term
// record says, so the longer lease must be recorded before it is first granted.
#[test]
fn a_longer_agent_lease_is_recorded_before_it_is_granted() {
    let mut lease = acquired_lease();
    let longer = LeaseConfig { hold_ms: 50_000, ..CONFIG };
    lease.handle(LeaseEvent::Configure(longer), Millis(1_500));
    assert_eq!(lease.agent_lease_ms(), 10_000);
    let write = lease.handle(LeaseEvent::Tick, Millis(3_000));
    assert_matches!(&write[..], [LeaseAction::WriteTerm { record, .. }] if record.hold_ms == 50_000);
    lease.handle(LeaseEvent::TermWritten(Some(11)), Millis(3_010));
    assert_eq!(lease.agent_lease_ms(), 50_000);
    let shorter = LeaseConfig { hold_ms: 2_000, ..CONFIG };
    lease.handle(LeaseEvent::Configure(shorter), Millis(3_020));
    assert_eq!(lease.agent_lease_ms(), 2_000, "a shorter lease is granted at once");
    assert_eq!(lease.longest_agent_lease_ms(), 50_000, "leases granted before still count");
    lease.handle(LeaseEvent::PredecessorsExpired, Millis(3_030));
    lease.handle(LeaseEvent::Tick, Millis(5_000));
    lease.handle(LeaseEvent::KeptAlive(true), Millis(5_010));
    assert_eq!(lease.longest_agent_lease_ms(), 50_000);
}
