use std::collections::{HashMap, HashSet};

use geraniumpost_schema::{Document, JobClass, Name, Resources};

use super::{Fleet, WorkerKey, amounts};

/// Customers, job classes, latency targets and the eviction limit of the configuration document.
#[derive(Debug, Clone, Default)]
pub struct PlacementPolicy {
    customers: HashMap<Name, CustomerSettings>,
    classes: HashMap<Name, JobClass>,
    /// Latency targets by service, in microseconds.
    targets_us: HashMap<Name, u64>,
    evictions_per_minute: u32,
    evacuated_domains: HashSet<Name>,
}

/// Weight and quota of one customer, from the configuration document.
#[derive(Debug, Clone, Copy)]
pub(super) struct CustomerSettings {
    pub weight: u32,
    pub quota: Resources,
}

impl From<&Document> for PlacementPolicy {
    fn from(document: &Document) -> Self {
        let settings = |name: &Name| {
            let customer = &document.customers[name];
            CustomerSettings { weight: customer.weight, quota: amounts::of_quota(&customer.quota) }
        };
        let target = |ms: u64| ms.saturating_mul(1000);
        Self {
            customers: document
                .customers
                .keys()
                .map(|name| (name.clone(), settings(name)))
                .collect(),
            classes: document.classes.clone().into_iter().collect(),
            targets_us: document
                .services
                .iter()
                .map(|(name, service)| (name.clone(), target(service.target_p99_ms)))
                .collect(),
            evictions_per_minute: document.policy.evictions_per_minute,
            evacuated_domains: document
                .domains
                .iter()
                .filter(|(_, domain)| domain.evacuated == Some(true))
                .map(|(name, _)| name.clone())
                .collect(),
        }
    }
}

impl PlacementPolicy {
    /// Returns whether jobs may be started on a worker: it is healthy, and its failure domain is
    /// not evacuated.
    pub(super) fn admits_jobs(&self, fleet: &Fleet, worker: WorkerKey) -> bool {
        let accepts_work = fleet.rows().get(worker).is_some_and(|row| row.accepts_work);
        accepts_work
            && (self.evacuated_domains.is_empty()
                || !self.evacuated_domains.contains(&fleet.view(worker).domain))
    }

    pub(super) fn customer(&self, customer: &Name) -> Option<CustomerSettings> {
        self.customers.get(customer).copied()
    }

    /// Returns the number of failures, on workers that were not quarantined, after which a job of
    /// `class` is given up. Unknown classes get the default of [`JobClass`].
    pub(super) fn max_attempts(&self, class: &Name) -> u32 {
        let default = || JobClass::default().max_attempts;
        self.classes.get(class).map_or_else(default, |class| class.max_attempts)
    }

    /// Returns the target for the p99 of `service` in microseconds, or [`DEFAULT_TARGET_US`] if the
    /// service is unknown.
    pub(super) fn target_us(&self, service: &Name) -> u64 {
        self.targets_us.get(service).copied().unwrap_or(DEFAULT_TARGET_US)
    }

    pub(super) const fn evictions_per_minute(&self) -> u32 {
        self.evictions_per_minute
    }
}

/// Latency target of services that are not in the document, equal to the schema's default.
const DEFAULT_TARGET_US: u64 = 200_000;
