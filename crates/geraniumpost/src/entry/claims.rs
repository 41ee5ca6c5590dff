use std::sync::Arc;
use std::time::Duration;

use geraniumpost_core::Millis;
use geraniumpost_core::requests::AgentView;
use geraniumpost_outside::{Expect, LeaseId, Store, StoreError};
use geraniumpost_schema::Name;
use serde::{Deserialize, Serialize};
use tokio::sync::Mutex;

use crate::Clock;

/// Claim in the store: the only agent that may run a keyed request.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Claim {
    /// Revision of the record, which must be unchanged when the claim is moved.
    pub revision: u64,
    /// Name of the agent.
    pub agent: Name,
    /// Incarnation of the agent. A restarted agent does not know what it ran before.
    pub incarnation: u64,
    /// Whether this request created the claim; otherwise an earlier request with the same key did.
    pub own: bool,
}

/// Stored value of a claim.
#[derive(Debug, Serialize, Deserialize)]
struct Record {
    agent: Name,
    incarnation: u64,
    /// Random number by which a writer recognizes its own write after a lost reply.
    mark: u64,
}

/// Claims of idempotency keys in the store.
///
/// A caller may repeat a request through any entry, and entries may know different sets of agents,
/// so no entry alone can determine to which agent the first request was sent. Therefore the claim
/// of a key is created once in the store, by compare-and-swap, before the request is sent. See
/// `docs/design/0004-keyed-requests.md`.
#[derive(Debug)]
pub struct Claims {
    store: Store,
    clock: Clock,
    lease: Mutex<Option<(LeaseId, Millis)>>,
}

impl Claims {
    /// Creates a client of the claims in `store`.
    pub const fn new(store: Store, clock: Clock) -> Self {
        Self { store, clock, lease: Mutex::const_new(None) }
    }

    /// Claims a key for an agent for at least `ttl`, or returns the existing claim.
    ///
    /// # Errors
    ///
    /// Fails if the store does not answer. The request was not sent then. If the claim was created
    /// nevertheless, a repeat is sent to its agent, which runs the request for the first time.
    pub async fn claim(
        &self,
        key: &str,
        agent: &AgentView,
        ttl: Duration,
    ) -> Result<Claim, StoreError> {
        let lease = self.lease(ttl).await?;
        self.write(key, agent, Expect::Absent, Some(lease)).await
    }

    /// Moves a claim from an agent that has barred the key to `agent`, or returns the claim that
    /// was stored in the meantime.
    ///
    /// # Errors
    ///
    /// Fails if the store does not answer.
    pub async fn move_claim(
        &self,
        key: &str,
        from: &Claim,
        agent: &AgentView,
        ttl: Duration,
    ) -> Result<Claim, StoreError> {
        let lease = self.lease(ttl).await?;
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
            // After a lost reply, the mark in the record shows who wrote it.
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
        let missing = || StoreError::Refused("the claim does not exist".to_owned());
        let found = self.store.get(&path(key)).await?.ok_or_else(missing)?;
        let record: Record = serde_json::from_slice(&found.value)
            .map_err(|error| StoreError::Refused(format!("unreadable claim: {error}")))?;
        Ok(record.claim(found.revision, mark))
    }

    /// Returns a store lease that lasts for at least `ttl`. Claims share leases: a claim costs one
    /// store call, and the leases together cost two calls per `ttl`.
    async fn lease(&self, ttl: Duration) -> Result<LeaseId, StoreError> {
        let mut lease = self.lease.lock().await;
        let now = self.clock.now();
        if let Some((id, granted)) = *lease
            && Duration::from_millis(now.since(granted)) < ttl / 2
        {
            return Ok(id);
        }
        let id = self.store.grant(ttl * 3 / 2).await?;
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

/// Returns the store key of a claim.
fn path(key: &str) -> String {
    format!("geraniumpost/claims/{key}")
}

/// Returns the agent to which requests with a key are sent while the store is unavailable. Entries
/// that know the same agents return the same agent.
pub fn fallback_agent<'a>(
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
