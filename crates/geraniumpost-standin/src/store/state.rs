use std::collections::{BTreeSet, HashMap};
use std::time::{Duration, Instant};

use bytes::Bytes;

use super::{Entry, Expect, WriteResult};

#[derive(Debug)]
struct Lease {
    ttl: Duration,
    expires: Instant,
    keys: BTreeSet<String>,
}

/// Data of the service: keys, leases, and a revision that increases with each change.
#[derive(Debug, Default)]
pub struct StoreState {
    revision: u64,
    entries: HashMap<String, Entry>,
    removed: HashMap<String, u64>,
    leases: HashMap<u64, Lease>,
    last_lease: u64,
}

impl StoreState {
    /// Returns the entry of a key.
    pub fn get(&self, key: &str) -> Option<&Entry> {
        self.entries.get(key)
    }

    /// Returns the revision of the last write or removal of a key, 0 if there was none.
    pub fn last_change(&self, key: &str) -> u64 {
        let written = self.entries.get(key).map(|entry| entry.revision);
        written.or_else(|| self.removed.get(key).copied()).unwrap_or(0)
    }

    /// Writes a key if the condition holds. `lease` replaces the earlier lease of the key.
    pub fn put(
        &mut self,
        key: &str,
        value: Bytes,
        expect: Expect,
        lease: Option<u64>,
    ) -> WriteResult {
        let current = self.entries.get(key).map(|entry| entry.revision);
        if !expect.holds(current) {
            return WriteResult::Conflict(current);
        }
        if lease.is_some_and(|id| !self.leases.contains_key(&id)) {
            return WriteResult::NoLease;
        }
        self.unbind(key);
        if let Some(lease) = lease.and_then(|id| self.leases.get_mut(&id)) {
            lease.keys.insert(key.to_owned());
        }
        self.revision += 1;
        let entry = Entry { revision: self.revision, value, lease };
        self.entries.insert(key.to_owned(), entry);
        self.removed.remove(key);
        WriteResult::Done(self.revision)
    }

    /// Removes a key if its revision is `revision`.
    pub fn delete(&mut self, key: &str, revision: u64) -> WriteResult {
        let current = self.entries.get(key).map(|entry| entry.revision);
        if current != Some(revision) {
            return WriteResult::Conflict(current);
        }
        self.unbind(key);
        self.remove(key);
        WriteResult::Done(self.revision)
    }

    /// Creates a lease that expires `ttl` after `now` unless it is renewed, and returns its id.
    pub fn grant(&mut self, ttl: Duration, now: Instant) -> u64 {
        self.last_lease += 1;
        let lease = Lease { ttl, expires: now + ttl, keys: BTreeSet::new() };
        self.leases.insert(self.last_lease, lease);
        self.last_lease
    }

    /// Renews a lease, and returns whether it existed.
    pub fn keep_alive(&mut self, id: u64, now: Instant) -> bool {
        let Some(lease) = self.leases.get_mut(&id) else { return false };
        lease.expires = now + lease.ttl;
        true
    }

    /// Ends a lease and removes its keys, and returns whether it existed.
    pub fn revoke(&mut self, id: u64) -> bool {
        let Some(lease) = self.leases.remove(&id) else { return false };
        for key in lease.keys {
            self.remove(&key);
        }
        true
    }

    /// Ends all expired leases, and returns whether there were any.
    pub fn expire(&mut self, now: Instant) -> bool {
        let expired = self.leases.iter().filter(|(_, lease)| lease.expires <= now);
        let expired: Vec<u64> = expired.map(|(id, _)| *id).collect();
        for id in &expired {
            self.revoke(*id);
        }
        !expired.is_empty()
    }

    fn unbind(&mut self, key: &str) {
        let bound = self.entries.get(key).and_then(|entry| entry.lease);
        if let Some(lease) = bound.and_then(|id| self.leases.get_mut(&id)) {
            lease.keys.remove(key);
        }
    }

    fn remove(&mut self, key: &str) {
        if self.entries.remove(key).is_some() {
            self.revision += 1;
            self.removed.insert(key.to_owned(), self.revision);
        }
    }
}
