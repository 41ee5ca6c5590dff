//! Entries tell each other of all entries they know. If a changed list travelled late, or its beat
//! were lost for good, an entry that was just started would stay unknown to some of the others:
//! the operator would see different agents and no planner there.

use geraniumpost::entry::Peers;
use geraniumpost_core::Millis;
use geraniumpost_schema::{EntryBeat, EntryPeer, Name};

fn peer(name: &str) -> EntryPeer {
    let (region, address) = (Name::from("lima"), Name::from("127.0.0.1:7000"));
    EntryPeer { name: Name::from(name), region, datagrams: address.clone(), console: address }
}

fn beat(name: &str, sequence: u64, draining: bool) -> EntryBeat {
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

macro_rules! cases {
    ($($name:ident: $change:expr => $expected:expr;)+) => {
        $(
            #[test]
            fn $name() {
                let mut peers = Peers::new(peer("entry-0"));
                peers.record_beat(beat("entry-1", 1, false), Millis(0));
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
    a_new_entry_is_told_at_once:
        |peers| peers.record_beat(beat("entry-2", 1, false), Millis(9)) => ["entry-0", "entry-1", "entry-2"];
    an_entry_that_leaves_is_told_at_once:
        |peers| peers.record_beat(beat("entry-1", 2, true), Millis(9)) => ["entry-0"];
    an_entry_forgotten_is_told_at_once: |peers| peers.tick(Millis(60_001)) => ["entry-0"];
    a_repeated_beat_changes_nothing:
        |peers| peers.record_beat(beat("entry-1", 2, false), Millis(9)) => [""; 0];
}

#[test]
fn a_lost_list_is_told_again_within_ten_beats() {
    let mut peers = Peers::new(peer("entry-0"));
    peers.record_beat(beat("entry-1", 1, false), Millis(0));
    for start in 1..40 {
        let mut told = peers.clone();
        drop(told.list_for_beat(start));
        assert!((start + 1..=start + 10).any(|sequence| !told.list_for_beat(sequence).is_empty()));
    }
}
