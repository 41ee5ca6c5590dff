use std::net::SocketAddr;

use geraniumpost_schema::EntryPeer;

use crate::entry_list;

/// Entries that an agent announces itself to.
///
/// The settings name some, so that a first word gets through; from then on the entries tell of each
/// other. The settings' ones are kept for good: should all entries known be replaced at once, those
/// addresses are what the operators hand on to the new ones.
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
    told: Vec<EntryPeer>,
}

impl KnownEntries {
    /// Knows only the settings' entries.
    pub fn new(seeds: &[SocketAddr]) -> Self {
        Self { seeds: seeds.to_vec(), told: Vec::new() }
    }

    /// Takes the list that an entry has told; an empty one means that nothing changed.
    pub fn told(&mut self, entries: Vec<EntryPeer>) {
        if !entries.is_empty() {
            self.told = entries;
        }
    }

    /// Returns the digest of the list last told.
    pub fn digest(&self) -> u64 {
        entry_list::digest(&self.told)
    }

    /// Returns every address once, the settings' first.
    pub fn addresses(&self) -> Vec<SocketAddr> {
        let mut addresses = self.seeds.clone();
        for peer in &self.told {
            if let Ok(address) = peer.datagrams.parse()
                && !addresses.contains(&address)
            {
                addresses.push(address);
            }
        }
        addresses
    }
}
