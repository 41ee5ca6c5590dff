//! The list of entries that entries and agents tell each other.

use std::hash::{DefaultHasher, Hash, Hasher};

use geraniumpost_schema::EntryPeer;

/// Returns a digest by which two processes see that they hold the same list, so that the list
/// itself travels only when they do not. The order does not matter.
///
/// ```
/// use geraniumpost::entry_list::digest;
/// assert_eq!(digest(&[]), 0);
/// ```
pub fn digest(entries: &[EntryPeer]) -> u64 {
    entries.iter().map(digest_of_one).fold(0, |all, one| all ^ one)
}

/// `DefaultHasher::new` has fixed keys, so all processes of one version agree. Processes of two
/// versions may not, and then merely send the list each time.
fn digest_of_one(peer: &EntryPeer) -> u64 {
    let mut hasher = DefaultHasher::new();
    (&*peer.name, &*peer.region, &*peer.datagrams, &*peer.console).hash(&mut hasher);
    hasher.finish()
}
