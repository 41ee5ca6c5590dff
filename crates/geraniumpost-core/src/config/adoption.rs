use super::{AdoptionAction, AdoptionEvent, Source};
use crate::Millis;

/// Time after which a fetch without an answer may be repeated.
const FETCH_MS: u64 = 1000;

/// Decides which revision of the configuration is in force in one process.
///
/// A lower revision is never adopted after a higher one. A process that starts while the store is
/// down would see its peers' revisions one by one; adopting the first that answers would put an
/// older setting in force again, for a moment, where a newer one had been in force before the
/// restart. So a starting process gathers answers for a while and adopts the highest.
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
    gather_ms: u64,
    gathering: Option<Gathering<T>>,
    fetching: Option<Fetching>,
    unreadable: Option<u64>,
}

/// What a starting process has gathered.
#[derive(Debug, Clone)]
struct Gathering<T> {
    until: Millis,
    asked_again: Millis,
    held: Option<(u64, T)>,
}

/// A fetch whose answer is awaited.
#[derive(Debug, Clone, Copy)]
struct Fetching {
    revision: u64,
    until: Millis,
}

impl<T> Adoption<T> {
    /// Creates the state of a process that gathers peers' answers for `gather_ms` after its start.
    pub const fn new(gather_ms: u64) -> Self {
        Self { in_force: 0, gather_ms, gathering: None, fetching: None, unreadable: None }
    }

    /// Returns the revision in force, 0 before the first.
    pub const fn in_force(&self) -> u64 {
        self.in_force
    }

    /// Takes one event and returns what is to be done.
    pub fn handle(&mut self, event: AdoptionEvent<T>, now: Millis) -> Vec<AdoptionAction<T>> {
        match event {
            AdoptionEvent::Started => self.start(now),
            AdoptionEvent::Offered { source, revision } => self.offered(source, revision, now),
            AdoptionEvent::Received { source, revision, document } => {
                self.received(&source, revision, document, now)
            }
            AdoptionEvent::Unreadable { revision } => self.unreadable(revision),
            AdoptionEvent::StoreEmpty => self.finish_gathering(),
            AdoptionEvent::Tick => self.tick(now),
        }
    }

    fn start(&mut self, now: Millis) -> Vec<AdoptionAction<T>> {
        let until = now.plus(self.gather_ms);
        let asked_again = now.plus(FETCH_MS);
        self.gathering = Some(Gathering { until, asked_again, held: None });
        vec![AdoptionAction::FetchAll]
    }

    fn offered(&mut self, source: Source, revision: u64, now: Millis) -> Vec<AdoptionAction<T>> {
        let held = self.gathering.as_ref().and_then(|g| g.held.as_ref()).map_or(0, |h| h.0);
        if revision <= self.in_force.max(held) || self.unreadable == Some(revision) {
            return Vec::new();
        }
        let awaited = self.fetching.filter(|fetching| now < fetching.until);
        if awaited.is_some_and(|fetching| fetching.revision >= revision) {
            return Vec::new();
        }
        self.fetching = Some(Fetching { revision, until: now.plus(FETCH_MS) });
        vec![AdoptionAction::Fetch { source, revision }]
    }

    fn received(
        &mut self,
        source: &Source,
        revision: u64,
        document: T,
        now: Millis,
    ) -> Vec<AdoptionAction<T>> {
        if self.fetching.is_some_and(|fetching| fetching.revision <= revision) {
            self.fetching = None;
        }
        if let Some(gathering) = &mut self.gathering {
            gathering.hold(revision, document);
            let over = *source == Source::Store || now >= gathering.until;
            return if over { self.finish_gathering() } else { Vec::new() };
        }
        self.adopt(revision, document)
    }

    fn unreadable(&mut self, revision: u64) -> Vec<AdoptionAction<T>> {
        self.unreadable = Some(revision);
        self.fetching = None;
        Vec::new()
    }

    /// Ends the gathering once its time is over and something was found; until then it asks anew,
    /// since a process without any configuration can serve nobody.
    fn tick(&mut self, now: Millis) -> Vec<AdoptionAction<T>> {
        let Some(gathering) = &mut self.gathering else { return Vec::new() };
        if gathering.held.is_some() && now >= gathering.until {
            return self.finish_gathering();
        }
        if gathering.held.is_none() && now >= gathering.asked_again {
            gathering.asked_again = now.plus(FETCH_MS);
            return vec![AdoptionAction::FetchAll];
        }
        Vec::new()
    }

    fn finish_gathering(&mut self) -> Vec<AdoptionAction<T>> {
        let held = self.gathering.take().and_then(|gathering| gathering.held);
        held.map_or_else(Vec::new, |(revision, document)| self.adopt(revision, document))
    }

    fn adopt(&mut self, revision: u64, document: T) -> Vec<AdoptionAction<T>> {
        if revision <= self.in_force {
            return Vec::new();
        }
        self.in_force = revision;
        vec![AdoptionAction::Adopt { revision, document }]
    }
}

impl<T> Gathering<T> {
    fn hold(&mut self, revision: u64, document: T) {
        if self.held.as_ref().is_none_or(|(held, _)| *held < revision) {
            self.held = Some((revision, document));
        }
    }
}
