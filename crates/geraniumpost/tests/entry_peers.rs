//! Tests of the lists of known entries in the heartbeats between entries.
//!
//! If a changed list were sent late, or were not repeated after its heartbeat was lost, some
//! entries would not know a new entry. The new entry would then show other agents and no planner.

use geraniumpost::entry::Peers;
use geraniumpost_core::Millis;
use geraniumpost_schema::{EntryBeat, EntryPeer, Name};

fn peer(name: &str) -> EntryPeer {
    let (region, address) = (Name::from("lima"), Name::from("127.0.0.1:7000"));
    EntryPeer { name: Name::from(name), region, datagrams: address.clone(), console: address }
}

fn heartbeat(name: &str, sequence: u64, draining: bool) -> EntryBeat {
    EntryBeat {
        peer: peer(name),
        incarnation: 1,
        sequence,
        config_revision: 0,
        term: 0,
        store_up: true,
        draining,
        peers: Vec::new(),
    }
}

fn names(list: &[EntryPeer]) -> Vec<&str> {
    list.iter().map(|peer| &*peer.name).collect()
}

/// Defines a test for each case: change of the known entries, and list in the next heartbeat.
macro_rules! cases {
    ($($name:ident: $change:expr => $expected:expr;)+) => {
        $(
            #[test]
            fn $name() {
                let mut peers = Peers::new(peer("entry-0"));
                peers.record_beat(heartbeat("entry-1", 1, false), Millis(0));
                assert_eq!(names(&peers.list_for_beat(1)), ["entry-0", "entry-1"]);
                assert!(peers.list_for_beat(2).is_empty());
                let change: fn(&mut Peers) = $change;
                change(&mut peers);
                assert_eq!(names(&peers.list_for_beat(3)), $expected);
            }
        )+
    };
}

cases! {
    new_entry_is_announced_at_once:
        |peers| peers.record_beat(heartbeat("entry-2", 1, false), Millis(9)) => ["entry-0", "entry-1", "entry-2"];
    stopping_entry_is_announced_at_once:
        |peers| peers.record_beat(heartbeat("entry-1", 2, true), Millis(9)) => ["entry-0"];
    expired_entry_is_announced_at_once: |peers| peers.tick(Millis(60_001)) => ["entry-0"];
    repeated_heartbeat_is_not_announced:
        |peers| peers.record_beat(heartbeat("entry-1", 2, false), Millis(9)) => [""; 0];
}

#[test]
fn list_is_repeated_within_ten_heartbeats() {
    let mut peers = Peers::new(peer("entry-0"));
    peers.record_beat(heartbeat("entry-1", 1, false), Millis(0));
    for start in 1..40 {
        let mut peers = peers.clone();
        drop(peers.list_for_beat(start));
        assert!((start + 1..=start + 10).any(|sequence| !peers.list_for_beat(sequence).is_empty()));
    }
}
