use std::collections::BTreeMap;

/// Response to a store call as its caller receives it; a lost response is `Failed`.
#[derive(Debug, Clone, PartialEq)]
pub enum StoreResponse {
    Read(Option<(u64, Vec<u8>)>),
    Granted(u64),
    Written(Option<u64>),
    KeptAlive(bool),
    Failed,
}

#[derive(Debug, Clone)]
pub enum StoreCall {
    Get(String),
    Put { key: String, value: Vec<u8>, expected: Option<u64>, lease: Option<u64> },
    Grant(u64),
    KeepAlive(u64),
    Revoke(u64),
}

/// A key-value store with compare-and-swap and leases, which counts its calls.
#[derive(Debug, Default)]
pub struct Store {
    /// Revision, value and attached lease by key.
    values: BTreeMap<String, (u64, Vec<u8>, Option<u64>)>,
    /// Expiry and time to live by lease.
    leases: BTreeMap<u64, (u64, u64)>,
    revision: u64,
    pub reads: u64,
    pub writes: u64,
    /// Writes that the simulation has not inspected yet.
    pub written: Vec<(String, Vec<u8>)>,
}

impl Store {
    pub fn handle(&mut self, call: StoreCall, now: u64) -> StoreResponse {
        self.expire(now);
        match call {
            StoreCall::Get(key) => {
                self.reads += 1;
                StoreResponse::Read(
                    self.values.get(&key).map(|(revision, value, _)| (*revision, value.clone())),
                )
            }
            StoreCall::Put { key, value, expected, lease } => self.put(key, value, expected, lease),
            StoreCall::Grant(ttl) => {
                self.writes += 1;
                self.revision += 1;
                self.leases.insert(self.revision, (now + ttl, ttl));
                StoreResponse::Granted(self.revision)
            }
            StoreCall::KeepAlive(lease) => {
                self.writes += 1;
                let known = self.leases.get_mut(&lease).map(|(until, ttl)| *until = now + *ttl);
                StoreResponse::KeptAlive(known.is_some())
            }
            StoreCall::Revoke(lease) => {
                self.leases.remove(&lease);
                self.expire(now);
                StoreResponse::Failed
            }
        }
    }

    fn put(
        &mut self,
        key: String,
        value: Vec<u8>,
        expected: Option<u64>,
        lease: Option<u64>,
    ) -> StoreResponse {
        self.writes += 1;
        let found = self.values.get(&key).map(|(revision, ..)| *revision);
        if found != expected || lease.is_some_and(|lease| !self.leases.contains_key(&lease)) {
            return StoreResponse::Written(None);
        }
        self.revision += 1;
        self.written.push((key.clone(), value.clone()));
        self.values.insert(key, (self.revision, value, lease));
        StoreResponse::Written(Some(self.revision))
    }

    fn expire(&mut self, now: u64) {
        self.leases.retain(|_, (until, _)| now < *until);
        let leases = &self.leases;
        self.values.retain(|_, (.., lease)| lease.is_none_or(|id| leases.contains_key(&id)));
    }
}
