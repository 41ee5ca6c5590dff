//! Set of live agents in the membership of an entry when heartbeats are lost, repeated, delayed and
//! reordered.

mod requests_support;

use std::collections::BTreeMap;

use geraniumpost_core::Millis;
use geraniumpost_core::requests::{Membership, MembershipChange, MembershipLimits};
use geraniumpost_schema::{AgentState, Heartbeat, Load};
use proptest::prelude::*;
use requests_support::{heartbeat, here};

const FAILED_AFTER_MS: u64 = 1_750;

fn membership() -> Membership {
    Membership::new(here(), MembershipLimits::new(500))
}

fn draining_heartbeat(agent: &str, incarnation: u64, sequence: u64) -> Heartbeat {
    Heartbeat { state: AgentState::Draining, ..heartbeat(agent, incarnation, sequence) }
}

#[derive(Debug, Clone)]
enum Step {
    Heartbeat { agent: usize, incarnation: u64, sequence: u64, draining: bool },
    MarkDraining { agent: usize, incarnation: u64 },
    SetConnected { agent: usize, incarnation: u64, up: bool },
    Advance { ms: u64 },
}

fn step() -> impl Strategy<Value = Step> {
    let heartbeat = (0..2usize, 0..3u64, 1..20u64, proptest::bool::weighted(0.1));
    prop_oneof![
        8 => heartbeat.prop_map(|(agent, incarnation, sequence, draining)| Step::Heartbeat {
            agent, incarnation, sequence, draining
        }),
        1 => (0..2usize, 0..3u64)
            .prop_map(|(agent, incarnation)| Step::MarkDraining { agent, incarnation }),
        2 => (0..2usize, 0..3u64, any::<bool>())
            .prop_map(|(agent, incarnation, up)| Step::SetConnected { agent, incarnation, up }),
        2 => (0..1_200u64).prop_map(|ms| Step::Advance { ms }),
    ]
}

/// Events of one agent, from which its expected state in a snapshot follows.
#[derive(Debug, Default)]
struct History {
    current_incarnation: u64,
    highest_sequences: BTreeMap<u64, u64>,
    draining_incarnations: Vec<u64>,
    last_heard: u64,
    failed: bool,
    connected: bool,
}

impl History {
    fn record(&mut self, incarnation: u64, sequence: u64, drains: bool, now: u64) {
        let known = self.highest_sequences.get(&incarnation).copied();
        let current = self.current_incarnation == incarnation && known.is_some();
        let newer = known.is_none_or(|known| sequence > known);
        if drains && (current || known.is_none() || (self.failed && newer)) {
            self.draining_incarnations.push(incarnation);
        }
        if !newer || (known.is_some() && !current && !self.failed) {
            return;
        }
        if !current {
            self.connected = false;
        }
        self.highest_sequences.insert(incarnation, sequence);
        (self.current_incarnation, self.last_heard, self.failed) = (incarnation, now, false);
    }
}

fn visible_agents(membership: &Membership) -> Vec<(String, u64, bool, bool)> {
    let snapshot = membership.snapshot();
    let mut visible_agents: Vec<_> = snapshot
        .agents()
        .map(|a| (a.name().to_string(), a.incarnation(), a.is_draining(), a.is_connected()))
        .collect();
    visible_agents.sort();
    visible_agents
}

proptest! {
    #[test]
    fn snapshot_matches_a_full_history(steps in prop::collection::vec(step(), 1..120)) {
        let mut membership = membership();
        let mut histories: BTreeMap<usize, History> = BTreeMap::new();
        let mut now = 0;
        for step in steps {
            match step {
                Step::Heartbeat { agent, incarnation, sequence, draining: drains } => {
                    let name = format!("a{agent}");
                    let state = if drains { AgentState::Draining } else { AgentState::Ready };
                    let heartbeat = Heartbeat { state, ..heartbeat(&name, incarnation, sequence) };
                    membership.record_heartbeat(&heartbeat, Millis(now));
                    histories.entry(agent).or_default().record(incarnation, sequence, drains, now);
                }
                Step::MarkDraining { agent, incarnation } => {
                    membership.mark_draining(&format!("a{agent}"), incarnation);
                    if let Some(history) = histories.get_mut(&agent)
                        && history.current_incarnation == incarnation
                    {
                        history.draining_incarnations.push(incarnation);
                    }
                }
                Step::SetConnected { agent, incarnation, up } => {
                    membership.set_connected(&format!("a{agent}"), incarnation, up);
                    if let Some(history) = histories.get_mut(&agent)
                        && history.current_incarnation == incarnation
                    {
                        history.connected = up;
                    }
                }
                Step::Advance { ms } => {
                    now += ms;
                    let _ = membership.tick(Millis(now));
                    for history in histories.values_mut() {
                        history.failed |= now - history.last_heard > FAILED_AFTER_MS;
                    }
                }
            }
            let live = histories.iter().filter(|(_, history)| !history.failed);
            let expected: Vec<_> = live
                .map(|(agent, history)| {
                    let drained = history.draining_incarnations.contains(&history.current_incarnation);
                    (format!("a{agent}"), history.current_incarnation, drained, history.connected)
                })
                .collect();
            prop_assert_eq!(visible_agents(&membership), expected);
        }
    }
}

/// An agent announces on SIGTERM that it is draining. A heartbeat sent just before arrives after
/// the announcement. If it were applied, the agent would get new requests, which would be cut off
/// when the process exits.
#[test]
fn a_late_heartbeat_does_not_undo_draining() {
    let mut membership = membership();
    membership.record_heartbeat(&heartbeat("a", 7, 1), Millis(0));
    membership.set_connected("a", 7, true);
    assert_eq!(
        membership.record_heartbeat(&draining_heartbeat("a", 7, 3), Millis(10)),
        MembershipChange::Draining
    );
    assert_eq!(
        membership.record_heartbeat(&heartbeat("a", 7, 2), Millis(11)),
        MembershipChange::Stale
    );
    assert_eq!(
        membership.record_heartbeat(&heartbeat("a", 7, 4), Millis(12)),
        MembershipChange::Refreshed
    );
    assert_eq!(membership.snapshot().service("filing").unwrap().routable_count(), 0);
}

/// A heartbeat that announces draining arrives after a later heartbeat without it. Draining is
/// final, so the announcement must not be ignored as late.
#[test]
fn a_late_announcement_of_draining_is_applied() {
    let mut membership = membership();
    membership.record_heartbeat(&heartbeat("a", 7, 5), Millis(0));
    assert_eq!(
        membership.record_heartbeat(&draining_heartbeat("a", 7, 4), Millis(1)),
        MembershipChange::Draining
    );
}

/// An agent is killed and immediately restarted. Delayed heartbeats of the old incarnation must not
/// make it current again: requests would be sent to a process that has ended.
#[test]
fn old_heartbeats_do_not_revive_a_killed_agent() {
    let mut membership = membership();
    membership.record_heartbeat(&heartbeat("a", 7, 90), Millis(0));
    assert_eq!(
        membership.record_heartbeat(&heartbeat("a", 8, 1), Millis(100)),
        MembershipChange::Restarted { previous: 7 }
    );
    assert_eq!(
        membership.record_heartbeat(&heartbeat("a", 7, 91), Millis(101)),
        MembershipChange::Stale
    );
    assert_eq!(membership.snapshot().agent("a").unwrap().incarnation(), 8);
}

/// The first heartbeat of a new incarnation arrives before a delayed heartbeat of the old
/// incarnation, which is unknown to this entry. The delayed heartbeat looks like a restart, but the
/// live incarnation must prevail.
#[test]
fn a_live_agent_prevails_over_a_delayed_heartbeat_of_an_unknown_incarnation() {
    let mut membership = membership();
    membership.record_heartbeat(&heartbeat("a", 8, 1), Millis(0));
    membership.record_heartbeat(&heartbeat("a", 7, 90), Millis(1));
    let mut now = 0;
    for sequence in 2..8 {
        now = sequence * 500;
        let _ = membership.tick(Millis(now));
        membership.record_heartbeat(&heartbeat("a", 8, sequence), Millis(now));
    }
    assert!(now <= 3_500);
    assert_eq!(membership.snapshot().agent("a").unwrap().incarnation(), 8);
}

/// The VM of an agent is suspended for a minute. Requests sent there would not be answered, so the
/// agent must be removed from routing within two seconds and return once the VM resumes.
#[test]
fn a_suspended_agent_fails_within_two_seconds_and_rejoins() {
    let mut membership = membership();
    membership.record_heartbeat(&heartbeat("a", 7, 1), Millis(0));
    let failed_at_ms = (0..).step_by(100).find(|&ms| !membership.tick(Millis(ms)).is_empty());
    assert!(failed_at_ms.unwrap() < 2_000, "{failed_at_ms:?}");
    assert!(membership.snapshot().agent("a").is_none());
    assert_eq!(
        membership.record_heartbeat(&heartbeat("a", 7, 1), Millis(60_000)),
        MembershipChange::Stale
    );
    assert_eq!(
        membership.record_heartbeat(&heartbeat("a", 7, 2), Millis(60_001)),
        MembershipChange::Joined
    );
}

/// A new snapshot is published while requests are in flight. If it had new counters, the agent
/// would appear idle to this entry after each change and get too many requests.
#[test]
fn requests_in_flight_are_counted_across_snapshots() {
    let mut membership = membership();
    membership.record_heartbeat(&heartbeat("a", 7, 1), Millis(0));
    let before = membership.snapshot();
    let _guard = before.agent("a").unwrap().counters().begin_request();
    membership.set_connected("a", 7, true);
    assert_eq!(membership.snapshot().agent("a").unwrap().counters().in_flight(), 1);
    membership.record_heartbeat(&heartbeat("a", 8, 1), Millis(1));
    assert_eq!(membership.snapshot().agent("a").unwrap().counters().in_flight(), 0);
}

/// A load report affects routing without a new snapshot. Otherwise each heartbeat of 570 agents
/// would copy the whole set.
#[test]
fn a_heartbeat_that_changes_only_the_load_needs_no_snapshot() {
    let mut membership = membership();
    membership.record_heartbeat(&heartbeat("a", 7, 1), Millis(0));
    let snapshot = membership.snapshot();
    let load = Load { queued: 9, ..Load::default() };
    let change =
        membership.record_heartbeat(&Heartbeat { load, ..heartbeat("a", 7, 2) }, Millis(500));
    assert!(!change.needs_snapshot());
    assert_eq!(snapshot.agent("a").unwrap().counters().load().queued, 9);
}

/// Agents are continually replaced under new names. If failed agents were never forgotten, the
/// memory of the entry would grow without limit.
#[test]
fn failed_agents_are_forgotten() {
    let mut membership = membership();
    membership.record_heartbeat(&heartbeat("a", 7, 5), Millis(0));
    let _ = membership.tick(Millis(600_001));
    assert_eq!(
        membership.record_heartbeat(&heartbeat("a", 7, 1), Millis(600_002)),
        MembershipChange::Joined
    );
}
