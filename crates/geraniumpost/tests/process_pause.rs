//! Orders of a coordinator that stood still.

use geraniumpost::batch::coordination::ProcessPause;
use geraniumpost_batch::{Order, OrderKind, ToAgent};
use geraniumpost_schema::Name;

const LEASE: ToAgent = ToAgent::Lease { sent_at_ms: 1, lease_ms: 5_000, fence: 1, store_ok: true };

fn order(run: u32) -> (Name, ToAgent) {
    let task = "0000000000000001.0.0.0".parse().expect("a task's name");
    let order = Order { minion: "m1".into(), task, run, kind: OrderKind::Stop };
    ("agent-1".into(), ToAgent::Order(order))
}

/// Returns a coordinator that was frozen for seven seconds, until 8,000 ms.
fn thawed() -> ProcessPause {
    let mut pause = ProcessPause::new(900);
    assert_eq!(pause.begin_round(1_000), None);
    assert_eq!(pause.begin_round(8_000), Some(7_000));
    pause
}

/// A frozen coordinator wakes up beside its successor. Its orders wait until the store has been asked since,
/// in their order; the store's answer to an earlier question says nothing.
#[test]
fn orders_wait_until_the_store_is_asked_again() {
    let mut pause = thawed();
    for run in [1, 2] {
        let (agent, message) = order(run);
        assert_eq!(pause.hold_if_unconfirmed(agent, message), None);
    }
    assert_eq!(pause.term_confirmed(7_999), []);
    assert_eq!(pause.term_confirmed(8_010), [order(1), order(2)]);
    let (agent, message) = order(3);
    assert_eq!(pause.hold_if_unconfirmed(agent, message), Some(order(3)));
}

/// The answers to beats do not wait: they say what they rest on, and agents judge by their age.
#[test]
fn answers_to_beats_do_not_wait() {
    let mut pause = thawed();
    assert_eq!(pause.hold_if_unconfirmed("agent-1".into(), LEASE), Some(("agent-1".into(), LEASE)));
}

/// Rounds a moment apart hold nothing back.
#[test]
fn working_coordinator_holds_nothing_back() {
    let mut pause = ProcessPause::new(900);
    assert_eq!(pause.begin_round(2_300), None);
    let (agent, message) = order(1);
    assert_eq!(pause.hold_if_unconfirmed(agent, message), Some(order(1)));
}
