use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;

use geraniumpost_core::Millis;
use geraniumpost_schema::{EntryBeat, EntryPeer, Name};

use crate::entry_list;

/// Time after the last heartbeat at which an entry is removed from the list, in milliseconds.
/// Agents send heartbeats to all listed entries, so lost entries must be removed. An entry that was
/// only unreachable is added again by its next heartbeat.
const ENTRY_TIMEOUT_MS: u64 = 60_000;
/// Time after the last heartbeat for which an entry is considered to plan, in milliseconds.
const PLANNER_TIMEOUT_MS: u64 = 5_000;
/// Interval at which an unchanged list is sent again, in heartbeats. A heartbeat with a changed
/// list may have been lost.
const LIST_INTERVAL_BEATS: u64 = 10;

/// The other entries, as known from their heartbeats.
#[derive(Debug, Clone)]
pub struct Peers {
    own: EntryPeer,
    known: BTreeMap<Name, LastBeat>,
    /// Addresses of entries from which no heartbeat was received yet.
    hints: BTreeSet<SocketAddr>,
    /// Digest of the list at the last heartbeat of this entry.
    last_digest: u64,
}

/// Last heartbeat of an entry and the time at which it was received.
#[derive(Debug, Clone)]
struct LastBeat {
    beat: EntryBeat,
    at: Millis,
}

impl Peers {
    /// Creates a list of only this entry.
    pub const fn new(own: EntryPeer) -> Self {
        Self { own, known: BTreeMap::new(), hints: BTreeSet::new(), last_digest: 0 }
    }

    /// Records a heartbeat of an entry. Ignores reordered and repeated heartbeats.
    pub fn record_beat(&mut self, beat: EntryBeat, now: Millis) {
        if beat.peer.name == self.own.name {
            return;
        }
        let known = self.known.get(&beat.peer.name);
        let late = known.is_some_and(|known| {
            known.beat.incarnation == beat.incarnation && known.beat.sequence >= beat.sequence
        });
        if !late {
            self.known.insert(beat.peer.name.clone(), LastBeat { beat, at: now });
        }
    }

    /// Adds addresses of entries that another entry has reported. They are sent the next heartbeat,
    /// and become known when they send one in turn.
    pub fn add_hints(&mut self, addresses: &[SocketAddr]) {
        self.hints.extend(addresses);
    }

    /// Removes entries whose heartbeats have timed out.
    pub fn tick(&mut self, now: Millis) {
        self.known.retain(|_, last| now.since(last.at) <= ENTRY_TIMEOUT_MS);
    }

    /// Returns the name and addresses of this entry.
    pub const fn own(&self) -> &EntryPeer {
        &self.own
    }

    /// Returns all entries that are not draining, including this one, sorted by name.
    pub fn list(&self) -> Vec<EntryPeer> {
        let staying = self.known.values().filter(|last| !last.beat.draining);
        let mut list: Vec<EntryPeer> = staying.map(|last| last.beat.peer.clone()).collect();
        list.push(self.own.clone());
        list.sort_by(|a, b| a.name.cmp(&b.name));
        list
    }

    /// Returns the list for the heartbeat with the given sequence number. It is complete if it has
    /// changed since the last heartbeat, and in every tenth heartbeat, and otherwise empty.
    ///
    /// If every heartbeat contained the list, the total size of the heartbeats would grow with the
    /// square of the number of entries. With 16 entries it would exceed the budget for all control
    /// traffic, see `docs/CAPACITY.md`.
    pub fn list_for_beat(&mut self, sequence: u64) -> Vec<EntryPeer> {
        let list = self.list();
        let digest = entry_list::digest(&list);
        let unchanged = std::mem::replace(&mut self.last_digest, digest) == digest;
        if unchanged && !sequence.is_multiple_of(LIST_INTERVAL_BEATS) { Vec::new() } else { list }
    }

    /// Returns the digest of [`Self::list`].
    pub fn digest(&self) -> u64 {
        entry_list::digest(&self.list())
    }

    /// Returns the UDP addresses of the other entries and of the hints, and removes the hints.
    pub fn take_addresses(&mut self) -> Vec<SocketAddr> {
        let hints = std::mem::take(&mut self.hints);
        let known = self.known.values().map(|last| last.beat.peer.datagrams.parse());
        known.filter_map(Result::ok).chain(hints).collect()
    }

    /// Returns the term and console address of the other entry that plans for this region. If
    /// several report that they plan, the one with the highest term is returned.
    pub fn planner(&self, now: Millis) -> Option<(u64, SocketAddr)> {
        let live = self.known.values().filter(|last| now.since(last.at) <= PLANNER_TIMEOUT_MS);
        let planning = live.filter(|l| l.beat.term > 0 && l.beat.peer.region == self.own.region);
        let highest = planning.max_by_key(|last| last.beat.term)?;
        Some((highest.beat.term, highest.beat.peer.console.parse().ok()?))
    }

    /// Returns the last heartbeat of each other entry and its age in milliseconds.
    pub fn beats(&self, now: Millis) -> impl Iterator<Item = (&EntryBeat, u64)> {
        self.known.values().map(move |last| (&last.beat, now.since(last.at)))
    }
}
