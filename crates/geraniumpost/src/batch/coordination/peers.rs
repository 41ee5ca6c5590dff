//! The other entries as registered in the store, and requests to them.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::time::Duration;

use arc_swap::ArcSwap;
use geraniumpost_platform::{KeyValue, Store, StoreError, Transaction};
use geraniumpost_schema::Name;
use tokio::task::JoinSet;

use super::super::{FromPeer, ToPeer, peer_link};
use super::{ENTRY_PREFIX, KnownCoordinator};

/// Timeout of one request to another entry, including the connection attempt.
const REQUEST_TIMEOUT: Duration = Duration::from_millis(300);

/// Client of the other entries that are registered in the store, with the registry as last read.
#[derive(Debug)]
pub struct Peers {
    node: Name,
    address: SocketAddr,
    others: ArcSwap<Vec<RegisteredEntry>>,
    /// Revision of this entry's own key; 0 until the entry has registered.
    own_revision: AtomicU64,
    /// Whether this entry has deregistered because it is stopping, and must not register again.
    is_stopping: AtomicBool,
}

/// The registration of an entry, as last read from the store.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RegisteredEntry {
    /// Name of the entry, the last part of its key.
    pub node: Name,
    /// Address on which the entry accepts links.
    pub address: SocketAddr,
    /// Revision of the entry's key in the store, as last read.
    pub revision: u64,
}

impl RegisteredEntry {
    /// Decodes a registration. Returns `None` if the key or the value is none, because another
    /// program may have written it.
    pub fn decode(item: &KeyValue) -> Option<Self> {
        let node = Name::from(item.key.strip_prefix(ENTRY_PREFIX)?);
        let address = std::str::from_utf8(&item.value).ok()?.parse().ok()?;
        Some(Self { node, address, revision: item.revision })
    }

    /// Returns the key of the registration: [`ENTRY_PREFIX`] followed by the entry's name.
    pub fn key(&self) -> String {
        entry_key(&self.node)
    }
}

fn entry_key(node: &Name) -> String {
    format!("{ENTRY_PREFIX}{node}")
}

/// Pause between two reads of the registry. Entries change only every few minutes, but the pause
/// must not be much longer: when entries start together, the first reads miss some of them.
const REFRESH_INTERVAL: Duration = Duration::from_secs(4);
/// Timeout of one read of a page of the registry, and of one registration.
const STORE_CALL_TIMEOUT: Duration = Duration::from_millis(700);

/// Another entry's response to a probe.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ProbeResult {
    /// Whether the coordinator responds to that entry.
    pub coordinator_responds: bool,
    /// The current coordinator as far as that entry knows.
    pub known_coordinator: Option<KnownCoordinator>,
}

impl Peers {
    /// Returns an empty list of other entries, for the entry `node` that accepts links at
    /// `address`.
    pub fn new(node: Name, address: SocketAddr) -> Self {
        Self {
            node,
            address,
            others: ArcSwap::default(),
            own_revision: AtomicU64::new(0),
            is_stopping: AtomicBool::new(false),
        }
    }

    /// Registers this entry in the store, so that the other entries find it.
    ///
    /// # Errors
    ///
    /// Fails if the store does not confirm the write.
    pub async fn register(&self, store: &Store, timeout: Duration) -> eyre::Result<()> {
        let transaction = Transaction {
            write: vec![(entry_key(&self.node), self.address.to_string().into())],
            ..Transaction::default()
        };
        let revision = store.commit(&transaction, timeout).await?;
        self.own_revision.store(revision, Ordering::Relaxed);
        Ok(())
    }

    /// Removes this entry from the registry and prevents it from registering again. If another
    /// process with the same name has registered meanwhile, its registration is kept.
    pub async fn deregister(&self, store: &Store, timeout: Duration) {
        self.is_stopping.store(true, Ordering::Relaxed);
        let key = entry_key(&self.node);
        let transaction = Transaction {
            expect: vec![(key.clone(), self.own_revision.load(Ordering::Relaxed))],
            remove: vec![key],
            ..Transaction::default()
        };
        if let Err(error) = store.commit(&transaction, timeout).await {
            spdlog::warn!("event=deregister_failed why=\"{error}\"");
        }
    }

    /// Reads the registry periodically until the process exits. While the store does not respond,
    /// the entries read last are kept, because this process then needs them to find the
    /// coordinator.
    pub async fn refresh_periodically(self: Arc<Self>, store: Arc<Store>) {
        loop {
            match self.refresh(&store, STORE_CALL_TIMEOUT).await {
                Ok(true) => {}
                Ok(false) => self.register_again(&store).await,
                Err(error) => spdlog::debug!("event=read_failed what=entries why=\"{error}\""),
            }
            tokio::time::sleep(REFRESH_INTERVAL).await;
        }
    }

    /// Reads the registry, and returns whether this entry is registered. Lost entries stay
    /// registered until the coordinator removes them.
    async fn refresh(&self, store: &Store, timeout: Duration) -> Result<bool, StoreError> {
        let items = store.list(ENTRY_PREFIX, timeout).await?;
        let (own, others): (Vec<_>, Vec<_>) = items
            .iter()
            .filter_map(RegisteredEntry::decode)
            .partition(|registered| registered.node == self.node);
        self.others.store(Arc::new(others));
        Ok(!own.is_empty())
    }

    /// Registers this entry again after a coordinator has removed the entry as lost.
    async fn register_again(&self, store: &Store) {
        if self.is_stopping.load(Ordering::Relaxed) {
            return;
        }
        let result = self.register(store, STORE_CALL_TIMEOUT).await;
        spdlog::warn!("event=registered_again ok={}", result.is_ok());
    }

    /// Returns the other entries as last read, including lost ones.
    pub fn other_entries(&self) -> Arc<Vec<RegisteredEntry>> {
        self.others.load_full()
    }

    /// Probes all other entries except `excluded` in parallel, and returns the responses that
    /// arrive within `REQUEST_TIMEOUT`.
    pub async fn probe_others(&self, excluded: Option<&Name>) -> Vec<ProbeResult> {
        let mut probes = JoinSet::new();
        for RegisteredEntry { node, address, .. } in self.others.load().iter() {
            if Some(node) != excluded {
                probes.spawn(probe_entry(*address));
            }
        }
        let mut results = Vec::new();
        while let Some(response) = probes.join_next().await {
            results.extend(response.ok().flatten());
        }
        results
    }

    /// Returns the address of another entry; `None` if that entry was not registered at the last
    /// read.
    pub fn address_of(&self, node: &Name) -> Option<SocketAddr> {
        let others = self.others.load();
        others
            .iter()
            .find(|registered| registered.node == *node)
            .map(|registered| registered.address)
    }

    /// Returns the number of registered entries without this entry and `excluded`.
    pub fn count_except(&self, excluded: &Name) -> usize {
        self.others.load().iter().filter(|registered| registered.node != *excluded).count()
    }

    /// Asks the other entries for coordinators with a higher fencing token than `fence`, and
    /// returns the coordinator with the highest token.
    ///
    /// Otherwise an entry that cannot read the store would not notice a takeover, and its callers
    /// would wait for the previous coordinator while all other entries serve.
    pub async fn find_successor(&self, fence: u64) -> Option<KnownCoordinator> {
        let results = self.probe_others(None).await;
        let successors = results.into_iter().filter_map(|result| result.known_coordinator);
        successors
            .filter(|coordinator| coordinator.fence > fence)
            .max_by_key(|coordinator| coordinator.fence)
    }
}

/// Asks one entry for the current coordinator; `None` if the entry does not respond within
/// `REQUEST_TIMEOUT`.
pub async fn probe_entry(address: SocketAddr) -> Option<ProbeResult> {
    match send_request(address, FromPeer::Probe).await? {
        ToPeer::ProbeResponse { coordinator_responds, coordinator } => {
            let known_coordinator =
                coordinator.map(|(address, fence)| KnownCoordinator { address, fence });
            Some(ProbeResult { coordinator_responds, known_coordinator })
        }
        _ => None,
    }
}

/// Sends one message to an entry over a new connection, and returns the response; `None` if there
/// is none within `REQUEST_TIMEOUT`.
pub async fn send_request(address: SocketAddr, message: FromPeer) -> Option<ToPeer> {
    let exchange = async {
        let (tx, mut rx) = peer_link::dial::<FromPeer, ToPeer>(address).await.ok()?;
        tx.send(message).ok()?;
        rx.next().await.map(|response| response.head)
    };
    tokio::time::timeout(REQUEST_TIMEOUT, exchange).await.ok().flatten()
}
