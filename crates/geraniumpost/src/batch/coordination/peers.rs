//! The other entries, and what they know of the coordinator.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use arc_swap::ArcSwap;
use geraniumpost_platform::{Put, Store, StoreError};
use geraniumpost_schema::Name;
use tokio::task::JoinSet;

use super::super::{FromPeer, ToPeer, peer_link};
use super::{ENTRY_PREFIX, Known};

/// Longest time a probe of another entry may take.
const PROBE: Duration = Duration::from_millis(300);

/// The other entries, as the store last named them.
#[derive(Debug)]
pub struct Peers {
    node: Name,
    address: SocketAddr,
    others: ArcSwap<Vec<(Name, SocketAddr)>>,
}

/// Pause between two readings of the list: entries come and go within minutes, and the first
/// readings find only some of those that started together.
const REFRESH: Duration = Duration::from_secs(4);
/// Longest time one reading may take.
const READ_TIMEOUT: Duration = Duration::from_millis(700);

/// What another entry said.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Probed {
    /// Whether the coordinator answers it.
    pub answered: bool,
    /// Whom it knows to coordinate.
    pub known: Option<Known>,
}

impl Peers {
    /// Returns the peers of an entry that has not read the store yet.
    pub fn new(node: Name, address: SocketAddr) -> Self {
        Self { node, address, others: ArcSwap::default() }
    }

    /// Lets the other entries find this one.
    ///
    /// # Errors
    ///
    /// Fails if the store does not confirm it.
    pub async fn announce(&self, store: &Store, timeout: Duration) -> eyre::Result<()> {
        let put = Put {
            write: vec![(format!("{ENTRY_PREFIX}{}", self.node), self.address.to_string().into())],
            ..Put::default()
        };
        store.commit(&put, timeout).await?;
        Ok(())
    }

    /// Keeps the list of the other entries for as long as the process runs. Without the store the
    /// entries known before stay known, as that is when they are needed.
    pub async fn follow(self: Arc<Self>, store: Arc<Store>) {
        loop {
            if let Err(error) = self.refresh(&store, READ_TIMEOUT).await {
                spdlog::debug!("event=read_failed what=entries why=\"{error}\"");
            }
            tokio::time::sleep(REFRESH).await;
        }
    }

    /// Reads who the other entries are. Those that are gone stay listed, and do not answer.
    async fn refresh(&self, store: &Store, timeout: Duration) -> Result<(), StoreError> {
        let items = store.list(ENTRY_PREFIX, timeout).await?;
        let others = items.iter().filter_map(|item| {
            let node = Name::from(item.key.strip_prefix(ENTRY_PREFIX)?);
            let address = std::str::from_utf8(&item.value).ok()?.parse().ok()?;
            (node != self.node).then_some((node, address))
        });
        self.others.store(Arc::new(others.collect()));
        Ok(())
    }

    /// Asks all other entries but one what they know of the coordinator.
    pub async fn probe(&self, except: Option<&Name>) -> Vec<Probed> {
        let mut probes = JoinSet::new();
        for (node, address) in self.others.load().iter() {
            if Some(node) != except {
                probes.spawn(probe(*address));
            }
        }
        let mut answers = Vec::new();
        while let Some(answer) = probes.join_next().await {
            answers.extend(answer.ok().flatten());
        }
        answers
    }

    /// Returns how many other entries are known, but for one.
    pub fn count(&self, except: &Name) -> usize {
        self.others.load().iter().filter(|(node, _)| node != except).count()
    }

    /// Asks the other entries for a coordinator with a higher token than `fence`.
    ///
    /// An entry that the store turns away learns of no takeover by itself. Its callers would wait
    /// for a coordinator that has a successor, while every other entry serves.
    pub async fn successor(&self, fence: u64) -> Option<Known> {
        let answers = self.probe(None).await;
        let newer = answers.into_iter().filter_map(|probed| probed.known);
        newer.filter(|known| known.fence > fence).max_by_key(|known| known.fence)
    }
}

/// Asks an entry what it knows of the coordinator.
pub async fn probe(address: SocketAddr) -> Option<Probed> {
    let asking = async {
        let (tx, mut rx) = peer_link::dial::<FromPeer, ToPeer>(address).await.ok()?;
        tx.send(FromPeer::Probe).ok()?;
        match rx.next().await?.head {
            ToPeer::Probed { coordinator_answers, coordinator } => {
                let known = coordinator.map(|(address, fence)| Known { address, fence });
                Some(Probed { answered: coordinator_answers, known })
            }
            _ => None,
        }
    };
    tokio::time::timeout(PROBE, asking).await.ok().flatten()
}
