//! Which agents live, when heartbeats are lost, repeated, late and out of order.

mod requests_support;

use std::collections::BTreeMap;

use geraniumpost_core::Millis;
use geraniumpost_core::requests::{Membership, MembershipChange, MembershipLimits};
use geraniumpost_schema::{AgentState, Heartbeat, Load};
use proptest::prelude::*;
use requests_support::{beat, here};

const DEAD_AFTER_MS: u64 = 1_750;

fn membership() -> Membership {
    Membership::new(here(), MembershipLimits::new(500))
}

fn draining(agent: &str, incarnation: u64, sequence: u64) -> Heartbeat {
    Heartbeat { state: AgentState::Draining, ..beat(agent, incarnation, sequence) }
}

#[derive(Debug, Clone)]
enum Step {
    Beat { agent: usize, incarnation: u64, sequence: u64, draining: bool },
    Leaving { agent: usize, incarnation: u64 },
    Connected { agent: usize, incarnation: u64, up: bool },
    Pass { ms: u64 },
}

fn step() -> impl Strategy<Value = Step> {
    let beat = (0..2usize, 0..3u64, 1..20u64, proptest::bool::weighted(0.1));
    prop_oneof![
        8 => beat.prop_map(|(agent, incarnation, sequence, draining)| Step::Beat {
            agent, incarnation, sequence, draining
        }),
        1 => (0..2usize, 0..3u64)
            .prop_map(|(agent, incarnation)| Step::Leaving { agent, incarnation }),
        2 => (0..2usize, 0..3u64, any::<bool>())
            .prop_map(|(agent, incarnation, up)| Step::Connected { agent, incarnation, up }),
        2 => (0..1_200u64).prop_map(|ms| Step::Pass { ms }),
    ]
}

/// What the twin remembers of one agent: everything.
#[derive(Debug, Default)]
struct History {
    present: u64,
    highest: BTreeMap<u64, u64>,
    left: Vec<u64>,
    heard_at: u64,
    dead: bool,
    connected: bool,
}

impl History {
    fn hear(&mut self, incarnation: u64, sequence: u64, leaves: bool, now: u64) {
        let known = self.highest.get(&incarnation).copied();
        let present = self.present == incarnation && known.is_some();
        let newer = known.is_none_or(|known| sequence > known);
        if leaves && (present || known.is_none() || (self.dead && newer)) {
            self.left.push(incarnation);
        }
        if !newer || (known.is_some() && !present && !self.dead) {
            return;
        }
        if !present {
            self.connected = false;
        }
        self.highest.insert(incarnation, sequence);
        (self.present, self.heard_at, self.dead) = (incarnation, now, false);
    }
}

fn shown(membership: &Membership) -> Vec<(String, u64, bool, bool)> {
    let snapshot = membership.snapshot();
    let mut shown: Vec<_> = snapshot
        .agents()
        .map(|a| (a.name().to_string(), a.incarnation(), a.is_draining(), a.is_connected()))
        .collect();
    shown.sort();
    shown
}

proptest! {
    #[test]
    fn shows_what_a_full_history_shows(steps in prop::collection::vec(step(), 1..120)) {
        let mut membership = membership();
        let mut histories: BTreeMap<usize, History> = BTreeMap::new();
        let mut now = 0;
        for step in steps {
            match step {
                Step::Beat { agent, incarnation, sequence, draining: leaves } => {
                    let name = format!("a{agent}");
                    let state = if leaves { AgentState::Draining } else { AgentState::Ready };
                    let beat = Heartbeat { state, ..beat(&name, incarnation, sequence) };
                    membership.record_heartbeat(&beat, Millis(now));
                    histories.entry(agent).or_default().hear(incarnation, sequence, leaves, now);
                }
                Step::Leaving { agent, incarnation } => {
                    membership.mark_draining(&format!("a{agent}"), incarnation);
                    if let Some(history) = histories.get_mut(&agent)
                        && history.present == incarnation
                    {
                        history.left.push(incarnation);
                    }
                }
                Step::Connected { agent, incarnation, up } => {
                    membership.set_connected(&format!("a{agent}"), incarnation, up);
                    if let Some(history) = histories.get_mut(&agent)
                        && history.present == incarnation
                    {
                        history.connected = up;
                    }
                }
                Step::Pass { ms } => {
                    now += ms;
                    let _ = membership.tick(Millis(now));
                    for history in histories.values_mut() {
                        history.dead |= now - history.heard_at > DEAD_AFTER_MS;
                    }
                }
            }
            let live = histories.iter().filter(|(_, history)| !history.dead);
            let expected: Vec<_> = live
                .map(|(agent, history)| {
                    let left = history.left.contains(&history.present);
                    (format!("a{agent}"), history.present, left, history.connected)
                })
                .collect();
            prop_assert_eq!(shown(&membership), expected);
        }
    }
}

/// An agent gets SIGTERM and says that it leaves. A heartbeat it sent just before is overtaken by
/// that word and arrives after it. Believed, it would bring the agent new requests that are cut off
/// when the process ends.
#[test]
fn a_late_heartbeat_does_not_undo_leaving() {
    let mut membership = membership();
    membership.record_heartbeat(&beat("a", 7, 1), Millis(0));
    membership.set_connected("a", 7, true);
    assert_eq!(
        membership.record_heartbeat(&draining("a", 7, 3), Millis(10)),
        MembershipChange::Draining
    );
    assert_eq!(membership.record_heartbeat(&beat("a", 7, 2), Millis(11)), MembershipChange::Stale);
    assert_eq!(
        membership.record_heartbeat(&beat("a", 7, 4), Millis(12)),
        MembershipChange::Refreshed
    );
    assert_eq!(membership.snapshot().service("filing").unwrap().routable_count(), 0);
}

/// The announcement overtakes nothing but is itself overtaken: the heartbeat that says "leaving"
/// comes after a later-numbered one. It is late, but what it says is final.
#[test]
fn a_late_word_of_leaving_is_believed() {
    let mut membership = membership();
    membership.record_heartbeat(&beat("a", 7, 5), Millis(0));
    assert_eq!(
        membership.record_heartbeat(&draining("a", 7, 4), Millis(1)),
        MembershipChange::Draining
    );
}

/// An agent is killed and started again at once. Its old heartbeats, still under way, must not
/// bring back the old incarnation: requests for it would go to a process that refuses them.
#[test]
fn old_heartbeats_do_not_bring_back_a_killed_agent() {
    let mut membership = membership();
    membership.record_heartbeat(&beat("a", 7, 90), Millis(0));
    assert_eq!(
        membership.record_heartbeat(&beat("a", 8, 1), Millis(100)),
        MembershipChange::Restarted { was: 7 }
    );
    assert_eq!(
        membership.record_heartbeat(&beat("a", 7, 91), Millis(101)),
        MembershipChange::Stale
    );
    assert_eq!(membership.snapshot().agent("a").unwrap().incarnation(), 8);
}

/// The first heartbeat of a new agent overtakes the last one of the old agent, which this entry
/// never heard of. The stray one is taken for a restart, but the living agent must win again.
#[test]
fn a_stray_heartbeat_of_an_unknown_incarnation_does_not_last() {
    let mut membership = membership();
    membership.record_heartbeat(&beat("a", 8, 1), Millis(0));
    membership.record_heartbeat(&beat("a", 7, 90), Millis(1));
    let mut now = 0;
    for sequence in 2..8 {
        now = sequence * 500;
        let _ = membership.tick(Millis(now));
        membership.record_heartbeat(&beat("a", 8, sequence), Millis(now));
    }
    assert!(now <= 3_500);
    assert_eq!(membership.snapshot().agent("a").unwrap().incarnation(), 8);
}

/// An agent's VM is frozen for a minute. Requests sent there would wait for nothing, so it must be
/// out of routing within two seconds; thawed, it comes back by itself.
#[test]
fn a_frozen_agent_goes_within_two_seconds_and_comes_back() {
    let mut membership = membership();
    membership.record_heartbeat(&beat("a", 7, 1), Millis(0));
    let gone = (0..).step_by(100).find(|&ms| !membership.tick(Millis(ms)).is_empty());
    assert!(gone.unwrap() < 2_000, "{gone:?}");
    assert!(membership.snapshot().agent("a").is_none());
    assert_eq!(
        membership.record_heartbeat(&beat("a", 7, 1), Millis(60_000)),
        MembershipChange::Stale
    );
    assert_eq!(
        membership.record_heartbeat(&beat("a", 7, 2), Millis(60_001)),
        MembershipChange::Joined
    );
}

/// A snapshot is published while requests are under way. Were the counters made anew, the agent
/// would look idle to this entry at each change, and a change would send it a herd.
#[test]
fn requests_in_flight_are_counted_across_snapshots() {
    let mut membership = membership();
    membership.record_heartbeat(&beat("a", 7, 1), Millis(0));
    let before = membership.snapshot();
    let _guard = before.agent("a").unwrap().counters().begin_request();
    membership.set_connected("a", 7, true);
    assert_eq!(membership.snapshot().agent("a").unwrap().counters().in_flight(), 1);
    membership.record_heartbeat(&beat("a", 8, 1), Millis(1));
    assert_eq!(membership.snapshot().agent("a").unwrap().counters().in_flight(), 0);
}

/// A report reaches routing without a new snapshot, or each of 570 heartbeats would copy the lot.
#[test]
fn a_heartbeat_with_nothing_but_load_needs_no_snapshot() {
    let mut membership = membership();
    membership.record_heartbeat(&beat("a", 7, 1), Millis(0));
    let snapshot = membership.snapshot();
    let load = Load { queued: 9, ..Load::default() };
    let heard = membership.record_heartbeat(&Heartbeat { load, ..beat("a", 7, 2) }, Millis(500));
    assert!(!heard.needs_snapshot());
    assert_eq!(snapshot.agent("a").unwrap().counters().load().queued, 9);
}

/// Agents are replaced all the time under new names. Remembered for good they would fill memory.
#[test]
fn dead_agents_are_forgotten() {
    let mut membership = membership();
    membership.record_heartbeat(&beat("a", 7, 5), Millis(0));
    let _ = membership.tick(Millis(600_001));
    assert_eq!(
        membership.record_heartbeat(&beat("a", 7, 1), Millis(600_002)),
        MembershipChange::Joined
    );
}
