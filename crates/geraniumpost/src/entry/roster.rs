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

/// Key of the roster in the store.
const ROSTER_KEY: &str = "geraniumpost/entries";
/// Interval at which an entry renews its line: two calls in six hours.
const RENEW: Duration = Duration::from_hours(6);
/// Age at which a line is taken to be of an entry that is gone, in milliseconds.
const OLD_MS: u64 = 24 * 3_600_000;
/// Shortest pause after a failed call; up to twice as long.
const PAUSE_MS: u64 = 2_000;

/// Where entries have started of late, kept in the store.
///
/// Settings name some peers, but VMs are replaced at any time and settings grow old. An entry whose
/// settings name nobody who still lives would otherwise see none of the others, take agents' lists
/// of entries for its own small one, and plan for the region beside them until the lease told it.
/// It is written at starts and every six hours, so it costs the store nothing that grows with load.
#[derive(Debug, Default, Serialize, Deserialize)]
struct Roster(BTreeMap<Name, Line>);

#[derive(Debug, Serialize, Deserialize)]
struct Line {
    datagrams: SocketAddr,
    at_ms: u64,
}

/// Enters this entry in the roster and learns of the others, until the process ends.
pub async fn keep_roster(cx: Arc<EntryContext>) {
    loop {
        match renew(&cx).await {
            Ok(others) => {
                spdlog::debug!("the roster names {} other entries", others.len());
                cx.peers().add_hints(&others);
                sleep(RENEW).await;
            }
            Err(error) => {
                spdlog::debug!("roster: {error}");
                let pause = PAUSE_MS + rand::random_range(0..PAUSE_MS);
                sleep(Duration::from_millis(pause)).await;
            }
        }
    }
}

/// Writes this entry's line and returns the addresses of the others.
///
/// A conflict or a lost reply is an error like any other: the next turn reads what stands.
async fn renew(cx: &EntryContext) -> Result<Vec<SocketAddr>, StoreError> {
    let (mut roster, expect) = read(&cx.store).await?;
    let now_ms = wall_ms();
    roster.0.retain(|_, line| now_ms.saturating_sub(line.at_ms) < OLD_MS);
    let line = Line { datagrams: cx.settings.datagrams, at_ms: now_ms };
    roster.0.insert(cx.me.name.clone(), line);
    let value = serde_json::to_vec(&roster).unwrap_or_default();
    cx.store.put(ROSTER_KEY, value, expect, None).await?;
    let others = roster.0.iter().filter(|(name, _)| **name != cx.me.name);
    Ok(others.map(|(_, line)| line.datagrams).collect())
}

async fn read(store: &Store) -> Result<(Roster, Expect), StoreError> {
    let Some(found) = store.get(ROSTER_KEY).await? else {
        return Ok((Roster::default(), Expect::Absent));
    };
    // A line format of another version is written anew; each entry enters itself again.
    let roster = serde_json::from_slice(&found.value).unwrap_or_default();
    Ok((roster, Expect::Revision(found.revision)))
}
