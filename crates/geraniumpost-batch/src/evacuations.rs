use std::collections::BTreeMap;

use geraniumpost_schema::Name;

/// Maximum time from the sending of a start order by the coordinator to its arrival at the minion,
/// in milliseconds: the agent's timeout of a call, and a margin for clocks of different speed.
const MAX_START_DELIVERY_MS: u64 = 1_000;

/// The failure domains that operators have evacuated, as read from the store.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub struct EvacuationReading {
    /// Revision of the store at the time of the reading.
    pub revision: u64,
    /// Evacuated domains, each with the revision at which its evacuation was requested.
    pub domains: BTreeMap<Name, u64>,
}

/// What a coordinator knows about evacuated failure domains, and until when that knowledge permits
/// a start.
///
/// Operators rely on a bound: so long after the request for an evacuation is acknowledged, no task
/// starts in the domain. Knowledge therefore expires. A reading shows every request that was
/// acknowledged before the reading was requested, so that starts are permitted for the bound less
/// the delivery time of an order, counted from then. See
/// docs/design/0603-a-shifted-mix-and-evacuation.md.
///
/// Times are on the coordinator's monotonic clock, in milliseconds.
///
/// # Example
///
/// ```
/// use geraniumpost_batch::{EvacuationReading, Evacuations, StartPermission};
/// let mut evacuations = Evacuations::new(Some(5_000));
/// assert_eq!(evacuations.permission("surco", 0), StartPermission::Unknown);
/// let domains = [("surco".into(), 7)].into();
/// evacuations.record(EvacuationReading { revision: 9, domains }, 100);
/// assert_eq!(evacuations.permission("surco", 200), StartPermission::Evacuated);
/// assert_eq!(evacuations.permission("callao", 200), StartPermission::Until(4_100));
/// assert_eq!(evacuations.permission("callao", 4_100), StartPermission::Unknown);
/// ```
#[derive(Debug, Default)]
pub struct Evacuations {
    /// Age of the latest reading from which no start is permitted; `None` if operators do not
    /// evacuate domains.
    max_age_ms: Option<u64>,
    latest: EvacuationReading,
    /// Time at which the latest reading was requested; `None` before the first reading.
    requested_ms: Option<u64>,
}

/// Whether tasks may be started in a failure domain.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum StartPermission {
    /// Tasks may be started, without limit of time.
    Unlimited,
    /// Tasks may be started before this time.
    Until(u64),
    /// The domain is evacuated.
    Evacuated,
    /// It is not known whether the domain is evacuated.
    Unknown,
}

/// How a reading differs from the one before.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub struct EvacuationChanges {
    /// Domains whose evacuation has been requested, or requested again, with the revision.
    pub evacuated: Vec<(Name, u64)>,
    /// Domains whose evacuation has ended.
    pub readmitted: Vec<Name>,
}

impl Evacuations {
    /// Returns the state before the first reading. `bound_ms` is the time after the
    /// acknowledgement of a request within which the last start has to happen, in milliseconds;
    /// `None` if operators do not evacuate domains, so that every start is permitted.
    pub const fn new(bound_ms: Option<u64>) -> Self {
        let max_age_ms = match bound_ms {
            Some(bound_ms) if bound_ms / 2 < MAX_START_DELIVERY_MS => Some(bound_ms / 2),
            Some(bound_ms) => Some(bound_ms - MAX_START_DELIVERY_MS),
            None => None,
        };
        let latest = EvacuationReading { revision: 0, domains: BTreeMap::new() };
        Self { max_age_ms, latest, requested_ms: None }
    }

    /// Records a reading that was requested at `requested_ms`, and returns what has changed.
    ///
    /// Readings may overlap; one that shows an earlier state of the store is ignored.
    pub fn record(&mut self, reading: EvacuationReading, requested_ms: u64) -> EvacuationChanges {
        if self.requested_ms.is_some() && reading.revision < self.latest.revision {
            return EvacuationChanges::default();
        }
        self.requested_ms = self.requested_ms.max(Some(requested_ms));
        let previous = std::mem::replace(&mut self.latest, reading);
        let is_new =
            |(domain, revision): &(&Name, &u64)| previous.domains.get(*domain) != Some(*revision);
        let evacuated = self.latest.domains.iter().filter(is_new);
        let is_over = |domain: &&Name| !self.latest.domains.contains_key(*domain);
        EvacuationChanges {
            evacuated: evacuated.map(|(domain, revision)| (domain.clone(), *revision)).collect(),
            readmitted: previous.domains.keys().filter(is_over).cloned().collect(),
        }
    }

    /// Returns whether tasks may be started in a failure domain.
    pub fn permission(&self, domain: &str, now_ms: u64) -> StartPermission {
        let Some(max_age_ms) = self.max_age_ms else { return StartPermission::Unlimited };
        let until_ms = self.requested_ms.map_or(0, |requested_ms| requested_ms + max_age_ms);
        if self.latest.domains.contains_key(domain) {
            StartPermission::Evacuated
        } else if now_ms < until_ms {
            StartPermission::Until(until_ms)
        } else {
            StartPermission::Unknown
        }
    }

    /// Returns whether the latest reading is recent enough to permit starts.
    pub fn are_known(&self, now_ms: u64) -> bool {
        let Some(max_age_ms) = self.max_age_ms else { return true };
        self.requested_ms.is_some_and(|requested_ms| now_ms < requested_ms + max_age_ms)
    }

    /// Returns whether a failure domain was evacuated as of the latest reading.
    pub fn is_evacuated(&self, domain: &str) -> bool {
        self.latest.domains.contains_key(domain)
    }

    /// Returns the evacuated domains as of the latest reading.
    pub fn domains(&self) -> impl ExactSizeIterator<Item = &Name> {
        self.latest.domains.keys()
    }

    /// Returns the age of the latest reading in milliseconds; `None` before the first reading.
    pub fn age_ms(&self, now_ms: u64) -> Option<u64> {
        self.requested_ms.map(|requested_ms| now_ms.saturating_sub(requested_ms))
    }
}
