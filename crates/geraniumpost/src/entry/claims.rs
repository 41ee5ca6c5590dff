use std::sync::Arc;
use std::time::Duration;

use geraniumpost_core::Millis;
use geraniumpost_core::requests::AgentView;
use geraniumpost_outside::{Expect, LeaseId, Store, StoreError};
use geraniumpost_schema::Name;
use serde::{Deserialize, Serialize};
use tokio::sync::Mutex;

use crate::Clock;

/// The one agent that may run a keyed request, as it stands in the store.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Claim {
    /// Revision of the record, by which it is moved.
    pub revision: u64,
    /// Name of the agent.
    pub agent: Name,
    /// Its incarnation; a restarted agent no longer knows what it ran.
    pub incarnation: u64,
    /// Whether this request made the claim; otherwise an earlier one with the same key did.
    pub own: bool,
}

/// The record's value.
#[derive(Debug, Serialize, Deserialize)]
struct Record {
    agent: Name,
    incarnation: u64,
    /// Random mark of the writer, by which it knows its own write after a lost reply.
    mark: u64,
}

/// Claims of idempotency keys in the store.
///
/// A caller repeats a request through any entry, and the entries see different sets of agents, so
/// none of them can say alone where the first one went. The store can: the key's record is created
/// once, by compare-and-swap, before the request is sent. See `docs/design/0004-keyed-requests.md`.
#[derive(Debug)]
pub struct Claims {
    store: Store,
    clock: Clock,
    lease: Mutex<Option<(LeaseId, Millis)>>,
}

impl Claims {
    /// Creates the access to the claims in `store`.
    pub const fn new(store: Store, clock: Clock) -> Self {
        Self { store, clock, lease: Mutex::const_new(None) }
    }

    /// Claims a key for an agent, or returns the claim that stands.
    ///
    /// # Errors
    ///
    /// Fails if the store does not answer. Nothing has been sent then, and should the claim stand
    /// after all, a repeat follows it to an agent that runs it for the first time.
    pub async fn claim(
        &self,
        key: &str,
        agent: &AgentView,
        remember: Duration,
    ) -> Result<Claim, StoreError> {
        let lease = self.lease(remember).await?;
        self.write(key, agent, Expect::Absent, Some(lease)).await
    }

    /// Moves a claim away from an agent that has barred the key, or returns the one that stands.
    ///
    /// # Errors
    ///
    /// Fails if the store does not answer.
    pub async fn shift(
        &self,
        key: &str,
        from: &Claim,
        agent: &AgentView,
        remember: Duration,
    ) -> Result<Claim, StoreError> {
        let lease = self.lease(remember).await?;
        self.write(key, agent, Expect::Revision(from.revision), Some(lease)).await
    }

    async fn write(
        &self,
        key: &str,
        agent: &AgentView,
        expect: Expect,
        lease: Option<LeaseId>,
    ) -> Result<Claim, StoreError> {
        let mark = rand::random();
        let record = Record { agent: agent.name().clone(), incarnation: agent.incarnation(), mark };
        let value = serde_json::to_vec(&record).unwrap_or_default();
        match self.store.put(&path(key), value, expect, lease).await {
            Ok(revision) => Ok(record.claim(revision, mark)),
            // After a lost reply the record itself tells whose it is.
            Err(StoreError::Conflict { .. } | StoreError::Uncertain(_)) => {
                self.read(key, mark).await
            }
            Err(StoreError::LeaseGone) => {
                *self.lease.lock().await = None;
                Err(StoreError::LeaseGone)
            }
            Err(error) => Err(error),
        }
    }

    async fn read(&self, key: &str, mark: u64) -> Result<Claim, StoreError> {
        let gone = || StoreError::Refused("the claim is not there".to_owned());
        let found = self.store.get(&path(key)).await?.ok_or_else(gone)?;
        let record: Record = serde_json::from_slice(&found.value)
            .map_err(|error| StoreError::Refused(format!("unreadable claim: {error}")))?;
        Ok(record.claim(found.revision, mark))
    }

    /// Returns a lease that lasts at least `remember`. Many claims share one, so that a claim costs
    /// the store one call and the leases cost two calls in each such time.
    async fn lease(&self, remember: Duration) -> Result<LeaseId, StoreError> {
        let mut lease = self.lease.lock().await;
        let now = self.clock.now();
        if let Some((id, granted)) = *lease
            && Duration::from_millis(now.since(granted)) < remember / 2
        {
            return Ok(id);
        }
        let id = self.store.grant(remember * 3 / 2).await?;
        *lease = Some((id, now));
        Ok(id)
    }
}

impl Record {
    fn claim(&self, revision: u64, mark: u64) -> Claim {
        let own = self.mark == mark;
        Claim { revision, agent: self.agent.clone(), incarnation: self.incarnation, own }
    }
}

/// Returns the store's key of a claim.
fn path(key: &str) -> String {
    format!("geraniumpost/claims/{key}")
}

/// Returns the agent that a key is sent to when the store is down: the same one as from every entry
/// that sees the same agents.
pub fn home<'a>(
    agents: impl Iterator<Item = &'a Arc<AgentView>>,
    key: &str,
) -> Option<&'a Arc<AgentView>> {
    use std::hash::{DefaultHasher, Hash, Hasher};
    let weight = |agent: &&Arc<AgentView>| {
        let mut hasher = DefaultHasher::new();
        (key, agent.name().as_str()).hash(&mut hasher);
        hasher.finish()
    };
    agents.max_by_key(weight)
}
