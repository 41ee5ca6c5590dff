//! Digest of the list of entries that entries and agents exchange.

use std::hash::{DefaultHasher, Hash, Hasher};

use geraniumpost_schema::EntryPeer;

/// Returns a digest of the list that does not depend on its order. Processes compare digests, and
/// send the list itself only if these differ.
///
/// ```
/// use geraniumpost::entry_list::digest;
/// assert_eq!(digest(&[]), 0);
/// ```
pub fn digest(entries: &[EntryPeer]) -> u64 {
    entries.iter().map(entry_digest).fold(0, |all, entry| all ^ entry)
}

/// `DefaultHasher::new` has fixed keys, so all processes of the same version compute the same
/// digest. Processes of different versions may not, and then send the list each time.
fn entry_digest(peer: &EntryPeer) -> u64 {
    let mut hasher = DefaultHasher::new();
    (&*peer.name, &*peer.region, &*peer.datagrams, &*peer.console).hash(&mut hasher);
    hasher.finish()
}
