use std::sync::{Arc, Mutex, PoisonError};
use std::time::Instant;

use bytes::Bytes;
use geraniumpost_core::Millis;
use geraniumpost_core::config::{Adoption, AdoptionAction, AdoptionEvent, Source, StoredDocument};
use geraniumpost_outside::{Store, StoreError};
use geraniumpost_schema::{Document, Name};

use super::{ActiveConfig, CONFIG_KEY, ConfigCell, FetchRequest};

/// Document with the id of the change that created it, which is empty if unknown.
type IdentifiedDocument = (Name, Document);

/// Updates the configuration of a process: passes revisions and documents from the store and from
/// peers to [`Adoption`], and puts in force what it decides.
#[derive(Debug)]
pub struct ConfigUpdater {
    active: Arc<ConfigCell>,
    adoption: Mutex<Adoption<IdentifiedDocument>>,
    started: Instant,
}

impl ConfigUpdater {
    /// Creates an updater that collects peers' responses for `collect_ms` after [`Self::start`].
    pub fn new(active: Arc<ConfigCell>, collect_ms: u64) -> Self {
        Self { active, adoption: Mutex::new(Adoption::new(collect_ms)), started: Instant::now() }
    }

    /// Returns the cell with the configuration in force.
    pub const fn active(&self) -> &Arc<ConfigCell> {
        &self.active
    }

    /// Starts collecting the configurations of the peers.
    pub fn start(&self) -> Vec<FetchRequest> {
        self.handle(AdoptionEvent::Started)
    }

    /// Handles the passing of time; must be called a few times a second.
    pub fn tick(&self) -> Vec<FetchRequest> {
        self.handle(AdoptionEvent::Tick)
    }

    /// Handles a heartbeat in which a peer reports that it has `revision` in force.
    pub fn offered(&self, peer: &Name, revision: u64) -> Vec<FetchRequest> {
        self.handle(AdoptionEvent::Offered { source: Source::Peer(peer.clone()), revision })
    }

    /// Handles a document that a peer has sent as JSON.
    pub fn received(&self, peer: &Name, revision: u64, json: &[u8]) -> Vec<FetchRequest> {
        match serde_json::from_slice(json) {
            Ok(document) => {
                self.adopt_from(Source::Peer(peer.clone()), revision, Name::default(), document)
            }
            Err(error) => self.on_unreadable(revision, &error),
        }
    }

    /// Reads the configuration from the store and adopts it if its revision is higher.
    ///
    /// # Errors
    ///
    /// Fails if the store does not answer; the configuration in force then stays.
    pub async fn refresh(&self, store: &Store) -> Result<(), StoreError> {
        match store.get(CONFIG_KEY).await? {
            Some(found) => drop(self.stored(found.revision, &found.value)),
            None => drop(self.handle(AdoptionEvent::StoreEmpty)),
        }
        Ok(())
    }

    /// Handles a value of [`CONFIG_KEY`] that was read from the store.
    pub fn stored(&self, revision: u64, value: &Bytes) -> Vec<FetchRequest> {
        let read = serde_json::from_slice::<StoredDocument>(value).and_then(|stored| {
            let change_id = stored.change_id();
            Ok((change_id, serde_json::from_value::<Document>(stored.document)?))
        });
        match read {
            Ok((change_id, document)) => {
                self.adopt_from(Source::Store, revision, change_id, document)
            }
            Err(error) => self.on_unreadable(revision, &error),
        }
    }

    /// Handles a document that this process has committed to the store.
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
        self.handle(AdoptionEvent::Received { source, revision, document: (change_id, document) })
    }

    /// Handles a document that cannot be read, for example because a newer version of the program
    /// wrote it. The configuration in force stays.
    fn on_unreadable(&self, revision: u64, error: &serde_json::Error) -> Vec<FetchRequest> {
        spdlog::error!("configuration {revision} cannot be read and is not adopted: {error}");
        self.handle(AdoptionEvent::Unreadable { revision })
    }

    fn handle(&self, event: AdoptionEvent<IdentifiedDocument>) -> Vec<FetchRequest> {
        let now = Millis(self.started.elapsed().as_millis() as u64);
        let mut adoption = self.adoption.lock().unwrap_or_else(PoisonError::into_inner);
        let actions = adoption.handle(event, now);
        actions.into_iter().filter_map(|action| self.execute(action)).collect()
    }

    fn execute(&self, action: AdoptionAction<IdentifiedDocument>) -> Option<FetchRequest> {
        match action {
            AdoptionAction::FetchAll => Some(FetchRequest::AllPeers),
            AdoptionAction::Fetch { source, .. } => Some(FetchRequest::One(source)),
            AdoptionAction::Adopt { revision, document: (change_id, document) } => {
                let change =
                    if change_id.is_empty() { "unknown (from a peer)" } else { &change_id };
                spdlog::info!("configuration {revision} is in force, change {change}");
                let config = ActiveConfig::new(revision, change_id, document);
                log_evacuations(self.active.load().evacuated_domains(), &config);
                self.active.adopt(config);
                None
            }
        }
    }
}

/// Logs which failure domains a new configuration evacuates or readmits.
fn log_evacuations(before: &[Name], config: &ActiveConfig) {
    let (revision, evacuated) = (config.revision(), config.evacuated_domains());
    for domain in evacuated.iter().filter(|domain| !before.contains(domain)) {
        spdlog::info!("event=domain_evacuated domain={domain} revision={revision}");
    }
    for domain in before.iter().filter(|domain| !evacuated.contains(domain)) {
        spdlog::info!("event=domain_readmitted domain={domain} revision={revision}");
    }
}
