use super::{AdoptionAction, AdoptionEvent, Source};
use crate::Millis;

/// Time after which a fetch without a response may be repeated.
const FETCH_TIMEOUT_MS: u64 = 1000;

/// State machine that decides which revision of the configuration is in force in a process.
///
/// A lower revision is never adopted after a higher one. A process that starts while the store is
/// unavailable receives its peers' revisions one by one. If it adopted the first of them, it could
/// put an older setting in force for a short time although a newer one had been in force before the
/// restart. Therefore a starting process collects responses for some time and adopts the highest.
///
/// # Example
///
/// ```
/// use geraniumpost_core::Millis;
/// use geraniumpost_core::config::{Adoption, AdoptionAction, AdoptionEvent, Source};
///
/// let mut adoption = Adoption::new(500);
/// let now = Millis(0);
/// assert_eq!(adoption.handle(AdoptionEvent::Started, now), vec![AdoptionAction::FetchAll]);
/// let event = AdoptionEvent::Received { source: Source::Store, revision: 7, document: "d" };
/// let adopt = AdoptionAction::Adopt { revision: 7, document: "d" };
/// assert_eq!(adoption.handle(event, now), vec![adopt]);
/// assert_eq!(adoption.in_force(), 7);
/// ```
#[derive(Debug, Clone)]
pub struct Adoption<T> {
    in_force: u64,
    collect_ms: u64,
    collecting: Option<Collection<T>>,
    pending_fetch: Option<PendingFetch>,
    unreadable: Option<u64>,
}

/// State of a starting process, which collects documents before it adopts the highest revision.
#[derive(Debug, Clone)]
struct Collection<T> {
    until: Millis,
    next_request_at: Millis,
    highest: Option<(u64, T)>,
}

/// A fetch without a response yet.
#[derive(Debug, Clone, Copy)]
struct PendingFetch {
    revision: u64,
    until: Millis,
}

impl<T> Adoption<T> {
    /// Creates the state of a process that collects its peers' responses for `collect_ms` after its
    /// start.
    pub const fn new(collect_ms: u64) -> Self {
        Self { in_force: 0, collect_ms, collecting: None, pending_fetch: None, unreadable: None }
    }

    /// Returns the revision in force, 0 if there is none yet.
    pub const fn in_force(&self) -> u64 {
        self.in_force
    }

    /// Handles an event and returns the resulting actions.
    pub fn handle(&mut self, event: AdoptionEvent<T>, now: Millis) -> Vec<AdoptionAction<T>> {
        match event {
            AdoptionEvent::Started => self.on_started(now),
            AdoptionEvent::Offered { source, revision } => self.on_offered(source, revision, now),
            AdoptionEvent::Received { source, revision, document } => {
                self.on_received(&source, revision, document, now)
            }
            AdoptionEvent::Unreadable { revision } => self.on_unreadable(revision),
            AdoptionEvent::StoreEmpty => self.finish_collection(),
            AdoptionEvent::Tick => self.on_tick(now),
        }
    }

    fn on_started(&mut self, now: Millis) -> Vec<AdoptionAction<T>> {
        let until = now.plus(self.collect_ms);
        let next_request_at = now.plus(FETCH_TIMEOUT_MS);
        self.collecting = Some(Collection { until, next_request_at, highest: None });
        vec![AdoptionAction::FetchAll]
    }

    fn on_offered(&mut self, source: Source, revision: u64, now: Millis) -> Vec<AdoptionAction<T>> {
        let highest = self
            .collecting
            .as_ref()
            .and_then(|collected| collected.highest.as_ref())
            .map_or(0, |h| h.0);
        if revision <= self.in_force.max(highest) || self.unreadable == Some(revision) {
            return Vec::new();
        }
        let awaited = self.pending_fetch.filter(|fetch| now < fetch.until);
        if awaited.is_some_and(|fetch| fetch.revision >= revision) {
            return Vec::new();
        }
        self.pending_fetch = Some(PendingFetch { revision, until: now.plus(FETCH_TIMEOUT_MS) });
        vec![AdoptionAction::Fetch { source, revision }]
    }

    fn on_received(
        &mut self,
        source: &Source,
        revision: u64,
        document: T,
        now: Millis,
    ) -> Vec<AdoptionAction<T>> {
        if self.pending_fetch.is_some_and(|fetch| fetch.revision <= revision) {
            self.pending_fetch = None;
        }
        if let Some(collecting) = &mut self.collecting {
            collecting.keep_highest(revision, document);
            let over = *source == Source::Store || now >= collecting.until;
            return if over { self.finish_collection() } else { Vec::new() };
        }
        self.adopt(revision, document)
    }

    fn on_unreadable(&mut self, revision: u64) -> Vec<AdoptionAction<T>> {
        self.unreadable = Some(revision);
        self.pending_fetch = None;
        Vec::new()
    }

    /// Ends the collection when its time has passed and a document was received. Without a document
    /// the request is repeated, because a process without a configuration cannot serve requests.
    fn on_tick(&mut self, now: Millis) -> Vec<AdoptionAction<T>> {
        let Some(collecting) = &mut self.collecting else { return Vec::new() };
        if collecting.highest.is_some() && now >= collecting.until {
            return self.finish_collection();
        }
        if collecting.highest.is_none() && now >= collecting.next_request_at {
            collecting.next_request_at = now.plus(FETCH_TIMEOUT_MS);
            return vec![AdoptionAction::FetchAll];
        }
        Vec::new()
    }

    fn finish_collection(&mut self) -> Vec<AdoptionAction<T>> {
        let highest = self.collecting.take().and_then(|collecting| collecting.highest);
        highest.map_or_else(Vec::new, |(revision, document)| self.adopt(revision, document))
    }

    fn adopt(&mut self, revision: u64, document: T) -> Vec<AdoptionAction<T>> {
        if revision <= self.in_force {
            return Vec::new();
        }
        self.in_force = revision;
        vec![AdoptionAction::Adopt { revision, document }]
    }
}

impl<T> Collection<T> {
    fn keep_highest(&mut self, revision: u64, document: T) {
        if self.highest.as_ref().is_none_or(|(highest, _)| *highest < revision) {
            self.highest = Some((revision, document));
        }
    }
}
