use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;

use geraniumpost_core::Millis;
use geraniumpost_schema::{EntryBeat, EntryPeer, Name};

use crate::entry_list;

/// How long an entry stays on the list after its last beat. Agents send heartbeats to everyone on
/// it, so an entry that is gone must leave it; one that is only cut off comes back by itself.
const FORGET_MS: u64 = 60_000;
/// How long an entry counts as planning after its last beat.
const PLANS_MS: u64 = 5_000;
/// Every how many beats an unchanged list is told again, since a beat with a changed one may be
/// lost.
const TELL_EVERY: u64 = 10;

/// The other entries, by their beats.
#[derive(Debug, Clone)]
pub struct Peers {
    own: EntryPeer,
    known: BTreeMap<Name, Heard>,
    hinted: BTreeSet<SocketAddr>,
    told: u64,
}

#[derive(Debug, Clone)]
struct Heard {
    beat: EntryBeat,
    at: Millis,
}

impl Peers {
    /// Knows only this entry.
    pub const fn new(own: EntryPeer) -> Self {
        Self { own, known: BTreeMap::new(), hinted: BTreeSet::new(), told: 0 }
    }

    /// Takes in a beat; late and repeated ones are ignored.
    pub fn record_beat(&mut self, beat: EntryBeat, now: Millis) {
        if beat.peer.name == self.own.name {
            return;
        }
        let known = self.known.get(&beat.peer.name);
        let late = known.is_some_and(|known| {
            known.beat.incarnation == beat.incarnation && known.beat.sequence >= beat.sequence
        });
        if !late {
            self.known.insert(beat.peer.name.clone(), Heard { beat, at: now });
        }
    }

    /// Takes note of addresses at which another entry has heard entries; they are sent the next
    /// beat, and are known for themselves once they answer with one.
    pub fn add_hints(&mut self, addresses: &[SocketAddr]) {
        self.hinted.extend(addresses);
    }

    /// Forgets entries that have long been silent.
    pub fn tick(&mut self, now: Millis) {
        self.known.retain(|_, heard| now.since(heard.at) <= FORGET_MS);
    }

    /// Returns where this entry is reached.
    pub const fn own(&self) -> &EntryPeer {
        &self.own
    }

    /// Returns every entry, this one included, that has not begun to leave.
    pub fn list(&self) -> Vec<EntryPeer> {
        let staying = self.known.values().filter(|heard| !heard.beat.draining);
        let mut list: Vec<EntryPeer> = staying.map(|heard| heard.beat.peer.clone()).collect();
        list.push(self.own.clone());
        list.sort_by(|a, b| a.name.cmp(&b.name));
        list
    }

    /// Returns the list for the beat numbered `sequence`: whole if it has changed since the last
    /// beat and with every tenth one, otherwise empty.
    ///
    /// With the list in every beat, the bytes of beats grow with the square of the entries; 16 of
    /// them then spend more on it than all control may cost, see `docs/CAPACITY.md`.
    pub fn list_for_beat(&mut self, sequence: u64) -> Vec<EntryPeer> {
        let list = self.list();
        let digest = entry_list::digest(&list);
        let unchanged = std::mem::replace(&mut self.told, digest) == digest;
        if unchanged && !sequence.is_multiple_of(TELL_EVERY) { Vec::new() } else { list }
    }

    /// Returns the digest of the list.
    pub fn digest(&self) -> u64 {
        entry_list::digest(&self.list())
    }

    /// Returns the UDP addresses of the other entries, those hinted at for the last time.
    pub fn take_addresses(&mut self) -> Vec<SocketAddr> {
        let hinted = std::mem::take(&mut self.hinted);
        let known = self.known.values().map(|heard| heard.beat.peer.datagrams.parse());
        known.filter_map(Result::ok).chain(hinted).collect()
    }

    /// Returns the console of the entry that plans for this region, by the highest term heard of.
    pub fn planner(&self, now: Millis) -> Option<(u64, SocketAddr)> {
        let live = self.known.values().filter(|heard| now.since(heard.at) <= PLANS_MS);
        let planning = live.filter(|h| h.beat.term > 0 && h.beat.peer.region == self.own.region);
        let highest = planning.max_by_key(|heard| heard.beat.term)?;
        Some((highest.beat.term, highest.beat.peer.console.parse().ok()?))
    }

    /// Returns the last beat of each other entry with its age in milliseconds.
    pub fn beats(&self, now: Millis) -> impl Iterator<Item = (&EntryBeat, u64)> {
        self.known.values().map(move |heard| (&heard.beat, now.since(heard.at)))
    }
}
