//! Leases of predecessors that a coordinator has to expect.

use std::net::SocketAddr;

use geraniumpost_batch::tuning::STORE_OUTAGE_TOLERANCE_MS;
use geraniumpost_batch::{PredecessorLeases, SilentCoordinator, lease_expiry_bound_ms};

const LEASE_MS: u64 = 5_000;
/// Time from a coordinator's last response until all leases that it may still extend have expired,
/// in milliseconds.
const SILENT_LEASE_EXPIRY_MS: u64 = STORE_OUTAGE_TOLERANCE_MS + lease_expiry_bound_ms(LEASE_MS);

fn address(port: u16) -> SocketAddr {
    SocketAddr::from(([10, 0, 0, 1], port))
}

/// Three coordinators stop responding one after the other. The fourth must wait for the leases of
/// all three, because the first may still extend the lease of an agent that no other process
/// reaches.
#[test]
fn leases_of_every_silent_coordinator_are_awaited() {
    let second =
        PredecessorLeases::default().after_takeover(Some((address(1), 1)), address(2), LEASE_MS);
    let third = second.aged_by(1_000).after_takeover(Some((address(2), 2)), address(3), LEASE_MS);
    let fourth = third.aged_by(500).after_takeover(Some((address(3), 3)), address(4), LEASE_MS);
    let waits: Vec<_> =
        fourth.silent.into_iter().map(|(at, silent)| (at, silent.remaining_ms)).collect();
    let expected = [
        (address(1), SILENT_LEASE_EXPIRY_MS - 1_500),
        (address(2), SILENT_LEASE_EXPIRY_MS - 500),
        (address(3), SILENT_LEASE_EXPIRY_MS),
    ];
    assert_eq!(waits, expected);
}

/// The wait for a silent coordinator must continue across planned handovers until its leases have
/// expired.
#[test]
fn planned_handover_keeps_silent_coordinators() {
    let second =
        PredecessorLeases::default().after_takeover(Some((address(1), 1)), address(2), LEASE_MS);
    let third = second.aged_by(4_000).after_takeover(None, address(3), LEASE_MS);
    let expected = SilentCoordinator { term: 1, remaining_ms: SILENT_LEASE_EXPIRY_MS - 4_000 };
    assert_eq!(third.silent.get(&address(1)), Some(&expected));
    assert!(third.aged_by(SILENT_LEASE_EXPIRY_MS).silent.is_empty());
}

/// A coordinator stops responding, recovers and takes over again. Its earlier term has ended, and
/// the coordinator must not wait for the leases of that term.
#[test]
fn coordinator_does_not_wait_for_itself() {
    let second =
        PredecessorLeases::default().after_takeover(Some((address(1), 1)), address(2), LEASE_MS);
    let third = second.after_takeover(Some((address(2), 2)), address(1), LEASE_MS);
    assert_eq!(third.silent.into_keys().collect::<Vec<_>>(), [address(2)]);
}

/// A coordinator steps down and reports the agents that it did not reach. A coordinator that stops
/// responding after that handover may have reached these agents and extended their leases; the
/// report is then no longer valid.
#[test]
fn unreached_agents_are_kept_only_by_a_planned_handover() {
    let mut reported = PredecessorLeases::default();
    reported.unreached.insert("agent-1".into(), 2_000);
    let planned = reported.clone().aged_by(500).after_takeover(None, address(2), LEASE_MS);
    assert_eq!(planned.unreached.get("agent-1"), Some(&1_500));
    assert!(planned.without_unreached().unreached.is_empty());
    assert!(
        reported.after_takeover(Some((address(1), 1)), address(2), LEASE_MS).unreached.is_empty()
    );
}
