//! What coordinators leave to each other.

use std::net::SocketAddr;

use geraniumpost_batch::tuning::STORE_OUTAGE_TOLERANCE_MS;
use geraniumpost_batch::{PredecessorLeases, SilentCoordinator, lease_expiry_bound_ms};

const HOLD_MS: u64 = 5_000;
/// How long leases may last that a coordinator extends which fell silent just now.
const SILENT_MS: u64 = STORE_OUTAGE_TOLERANCE_MS + lease_expiry_bound_ms(HOLD_MS);

fn address(port: u16) -> SocketAddr {
    SocketAddr::from(([10, 0, 0, 1], port))
}

/// Three coordinators fall silent one after the other. The fourth waits for each of them: the first may
/// still be extending the lease of an agent that nobody else reaches.
#[test]
fn every_silent_coordinator_is_waited_for() {
    let second =
        PredecessorLeases::default().after_takeover(Some((address(1), 1)), address(2), HOLD_MS);
    let third = second.aged_by(1_000).after_takeover(Some((address(2), 2)), address(3), HOLD_MS);
    let fourth = third.aged_by(500).after_takeover(Some((address(3), 3)), address(4), HOLD_MS);
    let waits: Vec<_> =
        fourth.silent.into_iter().map(|(at, silent)| (at, silent.remaining_ms)).collect();
    let expected =
        [(address(1), SILENT_MS - 1_500), (address(2), SILENT_MS - 500), (address(3), SILENT_MS)];
    assert_eq!(waits, expected);
}

/// A silent coordinator is waited for until its time is over, also across planned handovers.
#[test]
fn planned_handover_keeps_whom_to_wait_for() {
    let second =
        PredecessorLeases::default().after_takeover(Some((address(1), 1)), address(2), HOLD_MS);
    let third = second.aged_by(4_000).after_takeover(None, address(3), HOLD_MS);
    let waited = SilentCoordinator { term: 1, remaining_ms: SILENT_MS - 4_000 };
    assert_eq!(third.silent.get(&address(1)), Some(&waited));
    assert!(third.aged_by(SILENT_MS).silent.is_empty());
}

/// A coordinator falls silent, comes back and takes over again. Its earlier term has ended, so that it
/// need not wait for itself.
#[test]
fn coordinator_does_not_wait_for_itself() {
    let second =
        PredecessorLeases::default().after_takeover(Some((address(1), 1)), address(2), HOLD_MS);
    let third = second.after_takeover(Some((address(2), 2)), address(1), HOLD_MS);
    assert_eq!(third.silent.into_keys().collect::<Vec<_>>(), [address(2)]);
}

/// A coordinator steps down and leaves behind which agents it did not reach. If one takes over only after
/// another coordinator was lost, that one may have reached them and extended their leases.
#[test]
fn unreached_agents_are_left_only_by_a_planned_handover() {
    let mut left = PredecessorLeases::default();
    left.unreached.insert("agent-1".into(), 2_000);
    let planned = left.clone().aged_by(500).after_takeover(None, address(2), HOLD_MS);
    assert_eq!(planned.unreached.get("agent-1"), Some(&1_500));
    assert!(planned.while_coordinating().unreached.is_empty());
    assert!(left.after_takeover(Some((address(1), 1)), address(2), HOLD_MS).unreached.is_empty());
}
