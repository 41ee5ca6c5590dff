//! Tests of orders that a coordinator sends after its process was paused.

use geraniumpost::batch::coordination::ProcessPause;
use geraniumpost_batch::{Order, OrderKind, ToAgent};
use geraniumpost_schema::Name;

const LEASE: ToAgent = ToAgent::Lease { sent_at_ms: 1, lease_ms: 5_000, fence: 1, store_ok: true };

fn order(run: u32) -> (Name, ToAgent) {
    let task = "0000000000000001.0.0.0".parse().expect("a task's name");
    let order = Order { minion: "m1".into(), task, run, kind: OrderKind::Stop };
    ("agent-1".into(), ToAgent::Order(order))
}

/// Returns the state of a process that was paused for seven seconds and has resumed at 8,000 ms.
fn resumed() -> ProcessPause {
    let mut pause = ProcessPause::new(900);
    assert_eq!(pause.begin_round(1_000), None);
    assert_eq!(pause.begin_round(8_000), Some(7_000));
    pause
}

/// A paused coordinator may resume while its successor already coordinates. The orders of the
/// resumed coordinator are held, in the sequence in which they were sent, until the store has
/// confirmed the term in response to a call sent after the pause. Responses to earlier calls are
/// ignored.
#[test]
fn orders_wait_until_the_store_confirms_the_term_again() {
    let mut pause = resumed();
    for run in [1, 2] {
        let (agent, message) = order(run);
        assert_eq!(pause.hold_if_unconfirmed(agent, message), None);
    }
    assert_eq!(pause.record_term_confirmation(7_999), []);
    assert_eq!(pause.record_term_confirmation(8_010), [order(1), order(2)]);
    let (agent, message) = order(3);
    assert_eq!(pause.hold_if_unconfirmed(agent, message), Some(order(3)));
}

/// Responses to heartbeats are not held, because agents check the age and fencing token of each
/// response.
#[test]
fn responses_to_heartbeats_do_not_wait() {
    let mut pause = resumed();
    assert_eq!(pause.hold_if_unconfirmed("agent-1".into(), LEASE), Some(("agent-1".into(), LEASE)));
}

/// No order is held while the gaps between rounds are shorter than a pause.
#[test]
fn running_coordinator_holds_no_order() {
    let mut pause = ProcessPause::new(900);
    assert_eq!(pause.begin_round(2_300), None);
    let (agent, message) = order(1);
    assert_eq!(pause.hold_if_unconfirmed(agent, message), Some(order(1)));
}
