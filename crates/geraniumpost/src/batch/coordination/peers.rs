//! The other entries, and what they know of the coordinator.

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

/// Longest time a probe of another entry may take.
const PROBE_TIMEOUT: Duration = Duration::from_millis(300);

/// The other entries, as the store last named them.
#[derive(Debug)]
pub struct Peers {
    node: Name,
    address: SocketAddr,
    others: ArcSwap<Vec<RegisteredEntry>>,
    /// Revision of this entry's own key; 0 while it is not listed.
    own_revision: AtomicU64,
    /// Whether this entry is asked to stop, and lists itself no more.
    is_stopping: AtomicBool,
}

/// Another entry as the store names it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RegisteredEntry {
    /// Its name.
    pub node: Name,
    /// Where it is reached.
    pub address: SocketAddr,
    /// Revision of its key.
    pub revision: u64,
}

impl RegisteredEntry {
    fn decode(item: &KeyValue) -> Option<Self> {
        let node = Name::from(item.key.strip_prefix(ENTRY_PREFIX)?);
        let address = std::str::from_utf8(&item.value).ok()?.parse().ok()?;
        Some(Self { node, address, revision: item.revision })
    }

    /// Returns the key under which the store names it.
    pub fn key(&self) -> String {
        key(&self.node)
    }
}

fn key(node: &Name) -> String {
    format!("{ENTRY_PREFIX}{node}")
}

/// Pause between two readings of the list: entries come and go within minutes, and the first
/// readings find only some of those that started together.
const REFRESH_INTERVAL: Duration = Duration::from_secs(4);
/// Longest time one reading may take.
const READ_TIMEOUT: Duration = Duration::from_millis(700);

/// What another entry said.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ProbeResult {
    /// Whether the coordinator answers it.
    pub coordinator_responds: bool,
    /// Whom it knows to coordinate.
    pub known_coordinator: Option<KnownCoordinator>,
}

impl Peers {
    /// Returns the peers of an entry that has not read the store yet.
    pub fn new(node: Name, address: SocketAddr) -> Self {
        Self {
            node,
            address,
            others: ArcSwap::default(),
            own_revision: AtomicU64::new(0),
            is_stopping: AtomicBool::new(false),
        }
    }

    /// Lets the other entries find this one.
    ///
    /// # Errors
    ///
    /// Fails if the store does not confirm it.
    pub async fn register(&self, store: &Store, timeout: Duration) -> eyre::Result<()> {
        let transaction = Transaction {
            write: vec![(key(&self.node), self.address.to_string().into())],
            ..Transaction::default()
        };
        let revision = store.commit(&transaction, timeout).await?;
        self.own_revision.store(revision, Ordering::Relaxed);
        Ok(())
    }

    /// Takes this entry off the list for good, unless another process of the same name has listed itself.
    pub async fn deregister(&self, store: &Store, timeout: Duration) {
        self.is_stopping.store(true, Ordering::Relaxed);
        let key = key(&self.node);
        let transaction = Transaction {
            expect: vec![(key.clone(), self.own_revision.load(Ordering::Relaxed))],
            remove: vec![key],
            ..Transaction::default()
        };
        if let Err(error) = store.commit(&transaction, timeout).await {
            spdlog::warn!("event=leave_failed why=\"{error}\"");
        }
    }

    /// Keeps the list of the other entries for as long as the process runs. Without the store the
    /// entries known before stay known, as that is when they are needed.
    pub async fn refresh_periodically(self: Arc<Self>, store: Arc<Store>) {
        loop {
            match self.refresh(&store, READ_TIMEOUT).await {
                Ok(true) => {}
                Ok(false) => self.register_again(&store).await,
                Err(error) => spdlog::debug!("event=read_failed what=entries why=\"{error}\""),
            }
            tokio::time::sleep(REFRESH_INTERVAL).await;
        }
    }

    /// Reads who the other entries are; returns whether this one is listed as well. Those that are lost stay
    /// listed for a while, and do not answer.
    async fn refresh(&self, store: &Store, timeout: Duration) -> Result<bool, StoreError> {
        let items = store.list(ENTRY_PREFIX, timeout).await?;
        let (own, others): (Vec<_>, Vec<_>) = items
            .iter()
            .filter_map(RegisteredEntry::decode)
            .partition(|registered| registered.node == self.node);
        self.others.store(Arc::new(others));
        Ok(!own.is_empty())
    }

    /// Lists this entry again that a coordinator took for gone.
    async fn register_again(&self, store: &Store) {
        if self.is_stopping.load(Ordering::Relaxed) {
            return;
        }
        let result = self.register(store, READ_TIMEOUT).await;
        spdlog::warn!("event=listed_again ok={}", result.is_ok());
    }

    /// Returns the other entries.
    pub fn registered(&self) -> Arc<Vec<RegisteredEntry>> {
        self.others.load_full()
    }

    /// Asks all other entries but one what they know of the coordinator.
    pub async fn probe(&self, excluded: Option<&Name>) -> Vec<ProbeResult> {
        let mut probes = JoinSet::new();
        for RegisteredEntry { node, address, .. } in self.others.load().iter() {
            if Some(node) != excluded {
                probes.spawn(probe(*address));
            }
        }
        let mut results = Vec::new();
        while let Some(response) = probes.join_next().await {
            results.extend(response.ok().flatten());
        }
        results
    }

    /// Returns where another entry is reached.
    pub fn address(&self, node: &Name) -> Option<SocketAddr> {
        let others = self.others.load();
        others
            .iter()
            .find(|registered| registered.node == *node)
            .map(|registered| registered.address)
    }

    /// Returns how many other entries are known, but for one.
    pub fn count(&self, excluded: &Name) -> usize {
        self.others.load().iter().filter(|registered| registered.node != *excluded).count()
    }

    /// Asks the other entries for a coordinator with a higher token than `fence`.
    ///
    /// An entry that the store turns away learns of no takeover by itself. Its callers would wait
    /// for a coordinator that has a successor, while every other entry serves.
    pub async fn successor(&self, fence: u64) -> Option<KnownCoordinator> {
        let results = self.probe(None).await;
        let successors = results.into_iter().filter_map(|result| result.known_coordinator);
        successors
            .filter(|known_coordinator| known_coordinator.fence > fence)
            .max_by_key(|known_coordinator| known_coordinator.fence)
    }
}

/// Asks an entry what it knows of the coordinator.
pub async fn probe(address: SocketAddr) -> Option<ProbeResult> {
    match request(address, FromPeer::Probe).await? {
        ToPeer::ProbeResponse { coordinator_responds, coordinator } => {
            let known_coordinator =
                coordinator.map(|(address, fence)| KnownCoordinator { address, fence });
            Some(ProbeResult { coordinator_responds, known_coordinator })
        }
        _ => None,
    }
}

/// Sends one message to an entry over a connection of its own, and returns the answer.
pub async fn request(address: SocketAddr, message: FromPeer) -> Option<ToPeer> {
    let exchange = async {
        let (tx, mut rx) = peer_link::dial::<FromPeer, ToPeer>(address).await.ok()?;
        tx.send(message).ok()?;
        rx.next().await.map(|response| response.head)
    };
    tokio::time::timeout(PROBE_TIMEOUT, exchange).await.ok().flatten()
}
