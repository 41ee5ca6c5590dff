//! Operators change the configuration of real processes while the store and the processes fail.

use std::collections::{BTreeMap, HashMap};
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use geraniumpost::client::ApiClient;
use geraniumpost::config::CONFIG_KEY;
use geraniumpost_core::config::StoredDocument;
use geraniumpost_harness::{Binaries, EntryVm, Fleet, OPERATOR_TOKEN, Plan};
use geraniumpost_outside::Store;
use geraniumpost_standin::http::Down;
use geraniumpost_standin::store::StoreFaults;
use http::Method;
use rand::rngs::StdRng;
use rand::{Rng as _, SeedableRng as _};
use serde_json::{Value, json};

/// Time for an accepted change to be in force everywhere, as the users' letter asks.
const IN_FORCE: Duration = Duration::from_secs(14);
/// Time for a call to one entry.
const CALL: Duration = Duration::from_secs(6);

/// What an operator was told of one change in the end.
#[derive(Debug, Clone, PartialEq)]
enum Told {
    Committed(u64),
    NotMade(u64),
    Unknown,
}

fn client(console: SocketAddr) -> ApiClient {
    ApiClient::new(console, OPERATOR_TOKEN).timeout(CALL)
}

/// Makes changes through any entry until `until`, and returns what was told of each.
///
/// An answer that leaves the outcome open, or none at all, is followed by a repeat under the same
/// change id through another entry, as `docs/OPERATIONS.md` tells operators to do.
async fn operate(
    who: u64,
    consoles: Vec<SocketAddr>,
    until: Instant,
    accepted: Arc<Mutex<Vec<(u64, Instant)>>>,
) -> HashMap<String, Told> {
    let mut rng = StdRng::seed_from_u64(who);
    let mut told = HashMap::new();
    let mut number = 0;
    while Instant::now() < until {
        number += 1;
        let change_id = format!("change-{who}-{number}");
        let entry = client(consoles[rng.random_range(0..consoles.len())]);
        let Ok(got) = entry.call(Method::GET, "/api/config", Vec::new()).await else { continue };
        if !got.is_success() {
            continue;
        }
        let mut document = got.body["document"].clone();
        document["policy"]["claim_ttl_s"] = json!(1000 * who + number);
        let revision = got.body["revision"].as_u64().unwrap();
        let outcome = put(&consoles, &mut rng, &change_id, revision, &document).await;
        if let Told::Committed(revision) = outcome {
            accepted.lock().unwrap().push((revision, Instant::now()));
        }
        told.insert(change_id, outcome);
        tokio::time::sleep(Duration::from_millis(rng.random_range(20..200))).await;
    }
    told
}

async fn put(
    consoles: &[SocketAddr],
    rng: &mut StdRng,
    change_id: &str,
    revision: u64,
    document: &Value,
) -> Told {
    for _ in 0..6 {
        let entry = client(consoles[rng.random_range(0..consoles.len())])
            .header("if-match", format!("\"{revision}\""))
            .header("x-change-id", change_id);
        let body = document.to_string().into_bytes();
        let Ok(reply) = entry.call(Method::PUT, "/api/config", body).await else {
            tokio::time::sleep(Duration::from_millis(200)).await;
            continue;
        };
        match reply.body["code"].as_u64() {
            None => return Told::Committed(reply.body["revision"].as_u64().unwrap()),
            Some(code @ 4008) => return Told::NotMade(code),
            // Not made by this call; an earlier one of the same change may have made it.
            Some(_) => tokio::time::sleep(Duration::from_millis(200)).await,
        }
    }
    Told::Unknown
}

/// Revisions seen in force, by process, in the order of the looks.
type Seen = Arc<Mutex<BTreeMap<String, Vec<(u64, Instant)>>>>;

/// Looks at what entries themselves have in force, and what they hear of everybody else.
async fn look(consoles: Vec<SocketAddr>, seen: Seen, until: Instant) {
    while Instant::now() < until {
        for (number, console) in consoles.iter().enumerate() {
            let entry = client(*console);
            let Ok(reply) = entry.call(Method::GET, "/api/in-force", Vec::new()).await else {
                continue;
            };
            let now = Instant::now();
            let mut seen = seen.lock().unwrap();
            for process in reply.body["processes"].as_array().into_iter().flatten() {
                let name = process["name"].as_str().unwrap_or_default();
                let revision = process["revision"].as_u64().unwrap_or(0);
                // A process that has just started has none in force and says so.
                if revision > 0 {
                    let key = format!("{name} as entry-{number} hears");
                    seen.entry(key).or_default().push((revision, now));
                }
            }
        }
        tokio::time::sleep(Duration::from_millis(50)).await;
    }
}

/// Lets something fail every half second: replies, the store, an entry or an agent, one at a time.
async fn fail(fleet: &mut Fleet, until: Instant) {
    let mut rng = StdRng::seed_from_u64(7);
    while Instant::now() < until {
        let faults = match rng.random_range(0..7) {
            0 | 1 => StoreFaults { lose_replies: 3, ..StoreFaults::default() },
            2 => StoreFaults { slow_ms: 300, ..StoreFaults::default() },
            3 => StoreFaults { down: Down::Unavailable, ..StoreFaults::default() },
            4 => StoreFaults { down: Down::Hang, ..StoreFaults::default() },
            _ => StoreFaults::default(),
        };
        fleet.set_store_faults(faults).await.unwrap();
        tokio::time::sleep(Duration::from_millis(500)).await;
        match rng.random_range(0..5) {
            0 => {
                let entry = rng.random_range(0..3);
                fleet.entry(entry).kill();
                fleet.entry(entry).restart().unwrap();
            }
            1 => {
                let agent = rng.random_range(0..3);
                fleet.agent(agent).kill();
                fleet.agent(agent).restart().unwrap();
            }
            2 => {
                let agent = rng.random_range(0..3);
                fleet.agent(agent).freeze().unwrap();
                tokio::time::sleep(Duration::from_millis(300)).await;
                fleet.agent(agent).thaw().unwrap();
            }
            _ => {}
        }
        tokio::time::sleep(Duration::from_millis(400)).await;
    }
    fleet.set_store_faults(StoreFaults::default()).await.unwrap();
}

/// Two operators go on changing the configuration through three entries while replies are lost, the
/// store is slow, down or hanging, and entries and agents are killed, restarted and frozen. An
/// accepted change must be in the store exactly once, one refused as a conflict never, and within
/// seconds everybody must have the latest.
#[tokio::test(flavor = "multi_thread")]
async fn accepted_changes_hold_through_faults() {
    let binaries = Binaries::new(env!("CARGO_BIN_EXE_geraniumpost"));
    let plan = Plan::default().entries(3).agents(3);
    let mut fleet = Fleet::start(&binaries, &plan).await.unwrap();
    let consoles: Vec<SocketAddr> = fleet.entries().iter().map(EntryVm::console).collect();
    let begin = Instant::now();
    let until = begin + Duration::from_secs(9);
    let accepted = Arc::new(Mutex::new(Vec::new()));
    let seen: Seen = Arc::default();
    let operators = [1, 2]
        .map(|who| tokio::spawn(operate(who, consoles.clone(), until, Arc::clone(&accepted))));
    let looking = tokio::spawn(look(consoles.clone(), Arc::clone(&seen), until + IN_FORCE));
    fail(&mut fleet, until).await;
    let mut told = HashMap::new();
    for operator in operators {
        told.extend(operator.await.unwrap());
    }
    let (last, _) = *accepted.lock().unwrap().iter().max().expect("some change was accepted");
    let settled = in_force_everywhere(&consoles, last).await;
    looking.abort();

    let store = Store::new(fleet.store().address());
    let found = store.get(CONFIG_KEY).await.unwrap().unwrap();
    let stored: StoredDocument = serde_json::from_slice(&found.value).unwrap();
    let made: Vec<&str> = stored.changes.iter().map(|change| change.change_id.as_str()).collect();
    for (change_id, told) in &told {
        let times = made.iter().filter(|made| *made == change_id).count();
        match told {
            Told::Committed(_) => assert_eq!(times, 1, "{change_id} was told as made"),
            Told::NotMade(code) => assert_eq!(times, 0, "{change_id} was told as {code}"),
            Told::Unknown => assert!(times <= 1, "{change_id} was made {times} times"),
        }
    }
    let committed = told.values().filter(|told| matches!(told, Told::Committed(_))).count();
    let unknown = told.values().filter(|told| **told == Told::Unknown).count();
    println!(
        "{} changes: {committed} committed, {unknown} unknown; in force everywhere {settled:?} after \
         the faults",
        told.len()
    );
    assert!(committed > 10, "only {committed} changes were accepted: {told:#?}");
    never_reverts(&seen.lock().unwrap());
    let metrics = client(consoles[0]).call(Method::GET, "/metrics", Vec::new()).await.unwrap();
    let metrics = metrics.body.as_str().unwrap_or_default().to_owned();
    for text in [
        "store_calls_total{operation=\"watch\"",
        "geraniumpost_store_up 1",
        "agents{state=\"ready\"} 3",
    ] {
        assert!(metrics.contains(text), "{text} is missing in {metrics}");
    }
}

/// Waits until every process that any entry knows has the revision, and returns how long it took.
async fn in_force_everywhere(consoles: &[SocketAddr], revision: u64) -> Duration {
    let begin = Instant::now();
    loop {
        let mut known = 0;
        let mut behind = Vec::new();
        for console in consoles {
            let reply = client(*console).call(Method::GET, "/api/in-force", Vec::new()).await;
            let body = reply.map_or(Value::Null, |reply| reply.body);
            for process in body["processes"].as_array().into_iter().flatten() {
                known += 1;
                if process["revision"].as_u64().unwrap_or(0) < revision {
                    behind.push(process.clone());
                }
            }
        }
        if behind.is_empty() && known == consoles.len() * 6 {
            return begin.elapsed();
        }
        assert!(begin.elapsed() < IN_FORCE, "{known} known, behind {revision}: {behind:#?}");
        tokio::time::sleep(Duration::from_millis(50)).await;
    }
}

/// What one entry hears of one process never falls, restarts included.
fn never_reverts(seen: &BTreeMap<String, Vec<(u64, Instant)>>) {
    assert_eq!(seen.len(), 18, "{:?}", seen.keys());
    for (who, revisions) in seen {
        let fallen = revisions.windows(2).find(|pair| pair[1].0 < pair[0].0);
        assert!(fallen.is_none(), "{who}: {fallen:?}");
    }
}
