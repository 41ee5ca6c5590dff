//! Who plans: the store lease, its lapse, and what the next holder is told.

use assert_matches::assert_matches;
use geraniumpost_core::Millis;
use geraniumpost_core::jobs::{
    LeaseAction, LeaseConfig, LeaseEvent, LeaseHolder, LeaseRole, PlannerLease, Takeover,
    TermRecord,
};

const CONFIG: LeaseConfig =
    LeaseConfig { ttl_ms: 6_000, poll_ms: 2_000, outage_hold_ms: 60_000, hold_ms: 10_000 };

fn holder(number: u64) -> LeaseHolder {
    LeaseHolder::new(format!("entry-{number}").into(), number)
}

fn value(record: &TermRecord) -> Vec<u8> {
    serde_json::to_vec(record).expect("plain data")
}

/// Takes the lease at `at` over the given record and returns the takeover.
fn take(lease: &mut PlannerLease, before: Option<&TermRecord>, at: u64) -> Takeover {
    let now = Millis(at);
    assert_eq!(lease.handle(LeaseEvent::Tick, now), [LeaseAction::ReadAlive]);
    lease.handle(LeaseEvent::AliveRead(None), now);
    lease.handle(LeaseEvent::Granted(5), now);
    assert_eq!(lease.handle(LeaseEvent::Claimed(true), now), [LeaseAction::ReadTerm]);
    let found = before.map(|record| (9, value(record)));
    let write = lease.handle(LeaseEvent::TermRead(found), now);
    assert_matches!(&write[..], [LeaseAction::WriteTerm { .. }]);
    let became = lease.handle(LeaseEvent::TermWritten(Some(10)), now);
    assert_matches!(&became[..], [LeaseAction::Acquired(takeover)] => takeover.clone())
}

fn leader() -> PlannerLease {
    let mut lease = PlannerLease::new(holder(1), CONFIG);
    take(&mut lease, None, 1_000);
    lease
}

#[test]
fn the_term_grows_and_names_who_was_before() {
    let mut lease = PlannerLease::new(holder(2), CONFIG);
    let before = TermRecord::first(holder(1), &CONFIG);
    let takeover = take(&mut lease, Some(&before), 1_000);
    assert_eq!((takeover.term, takeover.earlier), (2, vec![holder(1)]));
    assert_eq!(lease.role(Millis(1_000)), LeaseRole::Leader { term: 2 });
}

// The holder's VM is paused for a while. Its clock is all it has: if it acted before it looked at it,
// two planners would assign work.
#[test]
fn a_paused_holder_notices_its_lapse() {
    let mut lease = leader();
    assert_eq!(lease.role(Millis(6_999)), LeaseRole::Leader { term: 1 });
    assert_eq!(lease.role(Millis(7_000)), LeaseRole::Disconnected { term: 1 });
    assert_eq!(lease.role(Millis(61_000)), LeaseRole::Follower);
    let woken = lease.handle(LeaseEvent::Tick, Millis(500_000));
    assert_matches!(&woken[..], [LeaseAction::Lost(_), LeaseAction::ReadAlive]);
}

// A renewal takes effect, but its answer comes five seconds late. The store counts from when it was
// renewed; a holder that counted from the answer would think the lease five seconds longer.
#[test]
fn a_renewal_counts_from_its_sending() {
    let mut lease = leader();
    let renewal = lease.handle(LeaseEvent::Tick, Millis(3_000));
    assert_eq!(renewal, [LeaseAction::KeepAlive { lease: 5 }]);
    lease.handle(LeaseEvent::KeptAlive(true), Millis(6_500));
    assert_eq!(lease.role(Millis(8_999)), LeaseRole::Leader { term: 1 });
    assert_eq!(lease.role(Millis(9_000)), LeaseRole::Disconnected { term: 1 });
}

// The store forgets the lease while the holder still believes in it, as after an outage of its own.
// The holder must not assign from that moment, but the running work goes on.
#[test]
fn a_lease_that_the_store_forgot_ends_assigning_at_once() {
    let mut lease = leader();
    lease.handle(LeaseEvent::Tick, Millis(3_000));
    lease.handle(LeaseEvent::KeptAlive(false), Millis(3_100));
    assert_eq!(lease.role(Millis(3_100)), LeaseRole::Disconnected { term: 1 });
}

// The store is out for longer than the lease. Nobody took over, so the holder goes on under its term,
// and no work that runs notices anything.
#[test]
fn a_holder_resumes_after_an_outage() {
    let mut lease = leader();
    let own = TermRecord::first(holder(1), &CONFIG);
    let at = Millis(30_000);
    assert_eq!(lease.handle(LeaseEvent::Tick, at), [LeaseAction::ReadAlive]);
    lease.handle(LeaseEvent::AliveRead(None), at);
    lease.handle(LeaseEvent::Granted(8), at);
    lease.handle(LeaseEvent::Claimed(true), at);
    let write = lease.handle(LeaseEvent::TermRead(Some((10, value(&own)))), at);
    assert_matches!(&write[..], [LeaseAction::WriteTerm { expected: Some(10), record }]
        if record.term == 1);
    assert_eq!(lease.handle(LeaseEvent::TermWritten(Some(11)), at), []);
    assert_eq!(lease.role(at), LeaseRole::Leader { term: 1 });
}

// The last hold runs out while the holder, back from an outage, rewrites its term. The driver found
// that it then began anew under its old term: its empty planner took the records in the store for its
// own and wrote over them, and every accepted job was lost.
#[test]
fn a_term_let_go_never_comes_back() {
    let mut lease = leader();
    let own = TermRecord::first(holder(1), &CONFIG);
    let at = Millis(60_000);
    lease.handle(LeaseEvent::Tick, at);
    lease.handle(LeaseEvent::AliveRead(None), at);
    lease.handle(LeaseEvent::Granted(8), at);
    lease.handle(LeaseEvent::Claimed(true), at);
    lease.handle(LeaseEvent::TermRead(Some((10, value(&own)))), at);
    let late = lease.handle(LeaseEvent::TermWritten(Some(11)), Millis(61_500));
    assert_matches!(&late[..], [LeaseAction::Lost(_)]);
    assert_eq!(lease.role(Millis(61_500)), LeaseRole::Follower);
}

// Another entry took over while the holder was cut off. It must learn that from the first look and
// let go, or agents that only it reaches would be kept from the new planner.
#[test]
fn a_holder_lets_go_when_another_plans() {
    let mut lease = leader();
    lease.handle(LeaseEvent::Tick, Millis(30_000));
    let seen = lease.handle(LeaseEvent::AliveRead(Some(b"entry-2#2 8".to_vec())), Millis(30_000));
    assert_matches!(&seen[..], [LeaseAction::Lost(_)]);
    assert_eq!(lease.role(Millis(30_000)), LeaseRole::Follower);
}

// The answer to the claim is lost after it took effect. Without reading back, the region would have
// no planner until the claim lapsed, and again after the next lost answer.
#[test]
fn a_claim_whose_answer_was_lost_is_read_back() {
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

// A candidate is paused between its claim and its write of the term. Its claim has lapsed by then, and
// another may plan: the written term must not make it one.
#[test]
fn a_candidate_paused_past_its_claim_does_not_plan() {
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

// An operator lengthens the hold. The next planner waits as long as the record says, so that a longer
// hold must be recorded before the first one is granted.
#[test]
fn a_longer_hold_is_recorded_before_it_is_granted() {
    let mut lease = leader();
    let longer = LeaseConfig { hold_ms: 50_000, ..CONFIG };
    lease.handle(LeaseEvent::Configure(longer), Millis(1_500));
    assert_eq!(lease.agent_lease_ms(), 10_000);
    let write = lease.handle(LeaseEvent::Tick, Millis(3_000));
    assert_matches!(&write[..], [LeaseAction::WriteTerm { record, .. }] if record.hold_ms == 50_000);
    lease.handle(LeaseEvent::TermWritten(Some(11)), Millis(3_010));
    assert_eq!(lease.agent_lease_ms(), 50_000);
    let shorter = LeaseConfig { hold_ms: 2_000, ..CONFIG };
    lease.handle(LeaseEvent::Configure(shorter), Millis(3_020));
    assert_eq!(lease.agent_lease_ms(), 2_000, "a shorter one is granted at once");
    assert_eq!(lease.longest_agent_lease_ms(), 50_000, "but what was granted before still counts");
    lease.handle(LeaseEvent::PredecessorsExpired, Millis(3_030));
    lease.handle(LeaseEvent::Tick, Millis(5_000));
    lease.handle(LeaseEvent::KeptAlive(true), Millis(5_010));
    assert_eq!(lease.longest_agent_lease_ms(), 50_000);
}
