use std::sync::{Arc, Mutex, PoisonError};
use std::time::Instant;

use bytes::Bytes;
use geraniumpost_core::Millis;
use geraniumpost_core::config::{Adoption, AdoptionAction, AdoptionEvent, Source, StoredDocument};
use geraniumpost_outside::{Store, StoreError};
use geraniumpost_schema::{Document, Name};

use super::{ActiveConfig, CONFIG_KEY, ConfigCell, FetchRequest};

/// A readable document with the id of its change, as far as that is known.
type Readable = (Name, Document);

/// Keeps the configuration of one process: feeds what is heard to the adoption rule and puts what
/// it decides in force.
#[derive(Debug)]
pub struct ConfigUpdater {
    active: Arc<ConfigCell>,
    adoption: Mutex<Adoption<Readable>>,
    origin: Instant,
}

impl ConfigUpdater {
    /// Creates a config that gathers peers' answers for `gather_ms` after the start.
    pub fn new(active: Arc<ConfigCell>, gather_ms: u64) -> Self {
        Self { active, adoption: Mutex::new(Adoption::new(gather_ms)), origin: Instant::now() }
    }

    /// Returns the active that requests read.
    pub const fn active(&self) -> &Arc<ConfigCell> {
        &self.active
    }

    /// Begins: nothing is known yet.
    pub fn start(&self) -> Vec<FetchRequest> {
        self.on(AdoptionEvent::Started)
    }

    /// Takes note that time has passed; to be called a few times a second.
    pub fn tick(&self) -> Vec<FetchRequest> {
        self.on(AdoptionEvent::Tick)
    }

    /// Takes note that a peer has `revision` in force, as its heartbeats say.
    pub fn offered(&self, peer: &Name, revision: u64) -> Vec<FetchRequest> {
        self.on(AdoptionEvent::Offered { source: Source::Peer(peer.clone()), revision })
    }

    /// Takes a document that a peer has sent as JSON.
    pub fn received(&self, peer: &Name, revision: u64, json: &[u8]) -> Vec<FetchRequest> {
        match serde_json::from_slice(json) {
            Ok(document) => {
                self.adopt_from(Source::Peer(peer.clone()), revision, Name::default(), document)
            }
            Err(error) => self.unreadable(revision, &error),
        }
    }

    /// Reads the store and adopts what it holds.
    ///
    /// # Errors
    ///
    /// Fails if the store does not answer; what is in force then stays.
    pub async fn refresh(&self, store: &Store) -> Result<(), StoreError> {
        match store.get(CONFIG_KEY).await? {
            Some(found) => drop(self.stored(found.revision, &found.value)),
            None => drop(self.on(AdoptionEvent::StoreEmpty)),
        }
        Ok(())
    }

    /// Takes the value of [`CONFIG_KEY`] that the store has answered, as a watch does.
    pub fn stored(&self, revision: u64, value: &Bytes) -> Vec<FetchRequest> {
        let read = serde_json::from_slice::<StoredDocument>(value).and_then(|stored| {
            let change_id = stored.change_id();
            Ok((change_id, serde_json::from_value::<Document>(stored.document)?))
        });
        match read {
            Ok((change_id, document)) => {
                self.adopt_from(Source::Store, revision, change_id, document)
            }
            Err(error) => self.unreadable(revision, &error),
        }
    }

    /// Takes a document that this process has just committed itself.
    pub fn committed(&self, revision: u64, change_id: Name, document: Document) {
        self.adopt_from(Source::Store, revision, change_id, document);
    }

    fn adopt_from(
        &self,
        source: Source,
        revision: u64,
        change_id: Name,
        document: Document,
    ) -> Vec<FetchRequest> {
        self.on(AdoptionEvent::Received { source, revision, document: (change_id, document) })
    }

    /// A newer program may have written what this one cannot read; it keeps what it has.
    fn unreadable(&self, revision: u64, error: &serde_json::Error) -> Vec<FetchRequest> {
        spdlog::error!("configuration {revision} cannot be read and is not adopted: {error}");
        self.on(AdoptionEvent::Unreadable { revision })
    }

    fn on(&self, event: AdoptionEvent<Readable>) -> Vec<FetchRequest> {
        let now = Millis(self.origin.elapsed().as_millis() as u64);
        let mut adoption = self.adoption.lock().unwrap_or_else(PoisonError::into_inner);
        let actions = adoption.handle(event, now);
        actions.into_iter().filter_map(|action| self.carry_out(action)).collect()
    }

    fn carry_out(&self, action: AdoptionAction<Readable>) -> Option<FetchRequest> {
        match action {
            AdoptionAction::FetchAll => Some(FetchRequest::AllPeers),
            AdoptionAction::Fetch { source, .. } => Some(FetchRequest::One(source)),
            AdoptionAction::Adopt { revision, document: (change_id, document) } => {
                let change = if change_id.is_empty() { "from a peer" } else { &change_id };
                spdlog::info!("configuration {revision} is in force, change {change}");
                self.active.adopt(ActiveConfig::new(revision, change_id, document));
                None
            }
        }
    }
}
