use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use geraniumpost_outside::{Expect, Store, StoreError};
use geraniumpost_schema::Name;
use serde::{Deserialize, Serialize};
use tokio::time::sleep;

use super::EntryContext;
use crate::wall_ms;

/// Store key of the registry.
const REGISTRY_KEY: &str = "geraniumpost/entries";
/// Interval at which an entry renews its registration, which takes two calls.
const RENEWAL_INTERVAL: Duration = Duration::from_hours(6);
/// Age at which a registration is removed because its entry no longer exists, in milliseconds.
const MAX_AGE_MS: u64 = 24 * 3_600_000;
/// Minimum delay after a failed call, in milliseconds. The delay is random up to twice as long.
const RETRY_DELAY_MS: u64 = 2_000;

/// Registry of the entries that have started recently, kept in the store.
///
/// The settings contain the addresses of some peers, but VMs are replaced at any time and settings
/// become outdated. If no peer of the settings existed any more, an entry would know none of the
/// other entries. It would then send agents an incomplete list of entries, and could act as planner
/// beside another entry until the planner lease showed otherwise. The registry is written at the
/// start and every six hours, so its store calls do not grow with the load.
#[derive(Debug, Default, Serialize, Deserialize)]
struct Registry(BTreeMap<Name, Registration>);

#[derive(Debug, Serialize, Deserialize)]
struct Registration {
    datagrams: SocketAddr,
    at_ms: u64,
}

/// Keeps this entry registered and learns the addresses of the others, until the process ends.
pub async fn stay_registered(cx: Arc<EntryContext>) {
    loop {
        match renew(&cx).await {
            Ok(others) => {
                spdlog::debug!("the registry contains {} other entries", others.len());
                cx.peers().add_hints(&others);
                sleep(RENEWAL_INTERVAL).await;
            }
            Err(error) => {
                spdlog::debug!("cannot register this entry: {error}");
                let delay = RETRY_DELAY_MS + rand::random_range(0..RETRY_DELAY_MS);
                sleep(Duration::from_millis(delay)).await;
            }
        }
    }
}

/// Writes this entry's registration and returns the addresses of the other entries.
///
/// A conflict or a lost reply is handled like other errors, because the next attempt reads the
/// registry again.
async fn renew(cx: &EntryContext) -> Result<Vec<SocketAddr>, StoreError> {
    let (mut registry, expect) = read(&cx.store).await?;
    let now_ms = wall_ms();
    registry.0.retain(|_, entry| now_ms.saturating_sub(entry.at_ms) < MAX_AGE_MS);
    let entry = Registration { datagrams: cx.settings.datagrams, at_ms: now_ms };
    registry.0.insert(cx.me.name.clone(), entry);
    let value = serde_json::to_vec(&registry).unwrap_or_default();
    cx.store.put(REGISTRY_KEY, value, expect, None).await?;
    let others = registry.0.iter().filter(|(name, _)| **name != cx.me.name);
    Ok(others.map(|(_, entry)| entry.datagrams).collect())
}

async fn read(store: &Store) -> Result<(Registry, Expect), StoreError> {
    let Some(found) = store.get(REGISTRY_KEY).await? else {
        return Ok((Registry::default(), Expect::Absent));
    };
    // A registry in the format of another version is replaced; each entry registers again.
    let registry = serde_json::from_slice(&found.value).unwrap_or_default();
    Ok((registry, Expect::Revision(found.revision)))
}
