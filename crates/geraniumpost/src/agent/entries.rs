use std::net::SocketAddr;

use geraniumpost_schema::EntryPeer;

use crate::entry_list;

/// Entries to which an agent sends heartbeats.
///
/// The settings contain the addresses of some entries (seeds). Their answers contain the list of
/// all entries. The seeds are always kept: if all listed entries are replaced at the same time, new
/// entries that reuse the seeds' addresses can still be reached.
///
/// # Example
///
/// ```
/// use geraniumpost::agent::KnownEntries;
/// let seeds = ["127.0.0.1:7000".parse().unwrap()];
/// let known = KnownEntries::new(&seeds);
/// assert_eq!(known.addresses(), seeds);
/// ```
#[derive(Debug, Clone)]
pub struct KnownEntries {
    seeds: Vec<SocketAddr>,
    listed: Vec<EntryPeer>,
}

impl KnownEntries {
    /// Creates a list of only the seeds.
    pub fn new(seeds: &[SocketAddr]) -> Self {
        Self { seeds: seeds.to_vec(), listed: Vec::new() }
    }

    /// Replaces the list with that of an entry's answer. An empty list means that it is unchanged.
    pub fn update(&mut self, entries: Vec<EntryPeer>) {
        if !entries.is_empty() {
            self.listed = entries;
        }
    }

    /// Returns the digest of the list last received.
    pub fn digest(&self) -> u64 {
        entry_list::digest(&self.listed)
    }

    /// Returns all addresses without duplicates, the seeds first.
    pub fn addresses(&self) -> Vec<SocketAddr> {
        let mut addresses = self.seeds.clone();
        for peer in &self.listed {
            if let Ok(address) = peer.datagrams.parse()
                && !addresses.contains(&address)
            {
                addresses.push(address);
            }
        }
        addresses
    }
}
