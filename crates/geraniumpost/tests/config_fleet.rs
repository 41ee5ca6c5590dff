//! Tests of changes of the configuration while the store and processes fail.

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

/// Required maximum time until an accepted change is in force on all processes.
const IN_FORCE_TIMEOUT: Duration = Duration::from_secs(14);
/// Maximum time for a call to one entry.
const CALL_TIMEOUT: Duration = Duration::from_secs(6);

/// Outcome of a change as its operator observed it after all retries.
#[derive(Debug, Clone, PartialEq)]
enum Outcome {
    Committed(u64),
    NotMade(u64),
    Unknown,
}

fn client(console: SocketAddr) -> ApiClient {
    ApiClient::new(console, OPERATOR_TOKEN).timeout(CALL_TIMEOUT)
}

/// Changes the configuration through random entries until `until`, and returns the outcome of each
/// change by its id.
///
/// After a response that leaves the outcome open, or after no response, the change is retried with
/// the same change id through a random entry, as `docs/OPERATIONS.md` tells operators to do.
async fn make_changes(
    operator: u64,
    consoles: Vec<SocketAddr>,
    until: Instant,
    accepted: Arc<Mutex<Vec<(u64, Instant)>>>,
) -> HashMap<String, Outcome> {
    let mut rng = StdRng::seed_from_u64(operator);
    let mut outcomes = HashMap::new();
    let mut number = 0;
    while Instant::now() < until {
        number += 1;
        let change_id = format!("change-{operator}-{number}");
        let entry = client(consoles[rng.random_range(0..consoles.len())]);
        let Ok(got) = entry.call(Method::GET, "/api/config", Vec::new()).await else { continue };
        if !got.is_success() {
            continue;
        }
        let mut document = got.body["document"].clone();
        document["policy"]["claim_ttl_s"] = json!(1000 * operator + number);
        let revision = got.body["revision"].as_u64().unwrap();
        let outcome = put_with_retries(&consoles, &mut rng, &change_id, revision, &document).await;
        if let Outcome::Committed(revision) = outcome {
            accepted.lock().unwrap().push((revision, Instant::now()));
        }
        outcomes.insert(change_id, outcome);
        tokio::time::sleep(Duration::from_millis(rng.random_range(20..200))).await;
    }
    outcomes
}

async fn put_with_retries(
    consoles: &[SocketAddr],
    rng: &mut StdRng,
    change_id: &str,
    revision: u64,
    document: &Value,
) -> Outcome {
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
            None => return Outcome::Committed(reply.body["revision"].as_u64().unwrap()),
            Some(code @ 4008) => return Outcome::NotMade(code),
            // This call did not make the change, but an earlier call with the same id may have.
            Some(_) => tokio::time::sleep(Duration::from_millis(200)).await,
        }
    }
    Outcome::Unknown
}

/// Observed revisions in force by process and observing entry, in the order of observation.
type ObservedRevisions = Arc<Mutex<BTreeMap<String, Vec<(u64, Instant)>>>>;

/// Records which revisions the entries show as in force on themselves and on other processes.
async fn observe_revisions(consoles: Vec<SocketAddr>, observed: ObservedRevisions, until: Instant) {
    while Instant::now() < until {
        for (number, console) in consoles.iter().enumerate() {
            let entry = client(*console);
            let Ok(reply) = entry.call(Method::GET, "/api/in-force", Vec::new()).await else {
                continue;
            };
            let now = Instant::now();
            let mut observed = observed.lock().unwrap();
            for process in reply.body["processes"].as_array().into_iter().flatten() {
                let name = process["name"].as_str().unwrap_or_default();
                let revision = process["revision"].as_u64().unwrap_or(0);
                // A process that has just started reports 0, because it has none in force.
                if revision > 0 {
                    let key = format!("{name} as shown by entry-{number}");
                    observed.entry(key).or_default().push((revision, now));
                }
            }
        }
        tokio::time::sleep(Duration::from_millis(50)).await;
    }
}

/// Injects a fault of the store and a fault of an entry or agent, in turn, until `until`.
async fn inject_faults(fleet: &mut Fleet, until: Instant) {
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

/// Two operators change the configuration through three entries while the store loses responses, is
/// slow or unavailable or does not respond, and entries and agents are restarted or frozen. An
/// accepted change must be in the store exactly once, and a change rejected as a conflict never.
/// The last change must be in force on all processes within seconds after the faults.
#[tokio::test(flavor = "multi_thread")]
async fn accepted_changes_hold_through_faults() {
    let binaries = Binaries::new(env!("CARGO_BIN_EXE_geraniumpost"));
    let plan = Plan::default().entries(3).agents(3);
    let mut fleet = Fleet::start(&binaries, &plan).await.unwrap();
    let consoles: Vec<SocketAddr> = fleet.entries().iter().map(EntryVm::console).collect();
    let begin = Instant::now();
    let until = begin + Duration::from_secs(9);
    let accepted = Arc::new(Mutex::new(Vec::new()));
    let observed: ObservedRevisions = Arc::default();
    let operators = [1, 2].map(|operator| {
        tokio::spawn(make_changes(operator, consoles.clone(), until, Arc::clone(&accepted)))
    });
    let observer = tokio::spawn(observe_revisions(
        consoles.clone(),
        Arc::clone(&observed),
        until + IN_FORCE_TIMEOUT,
    ));
    inject_faults(&mut fleet, until).await;
    let mut outcomes = HashMap::new();
    for operator in operators {
        outcomes.extend(operator.await.unwrap());
    }
    let (last, _) = *accepted.lock().unwrap().iter().max().expect("some change was accepted");
    let delay = wait_until_in_force(&consoles, last).await;
    observer.abort();

    let store = Store::new(fleet.store().address());
    let found = store.get(CONFIG_KEY).await.unwrap().unwrap();
    let stored: StoredDocument = serde_json::from_slice(&found.value).unwrap();
    let made_ids: Vec<&str> =
        stored.changes.iter().map(|change| change.change_id.as_str()).collect();
    for (change_id, outcome) in &outcomes {
        let times = made_ids.iter().filter(|made_id| *made_id == change_id).count();
        match outcome {
            Outcome::Committed(_) => assert_eq!(times, 1, "{change_id} was reported as made"),
            Outcome::NotMade(code) => assert_eq!(times, 0, "{change_id} was rejected with {code}"),
            Outcome::Unknown => assert!(times <= 1, "{change_id} was made {times} times"),
        }
    }
    let committed =
        outcomes.values().filter(|outcome| matches!(outcome, Outcome::Committed(_))).count();
    let unknown = outcomes.values().filter(|outcome| **outcome == Outcome::Unknown).count();
    println!(
        "{} changes: {committed} committed, {unknown} unknown; in force everywhere {delay:?} after \
         the faults",
        outcomes.len()
    );
    assert!(committed > 10, "only {committed} changes were accepted: {outcomes:#?}");
    assert_never_reverts(&observed.lock().unwrap());
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

/// Waits until all entries show a revision as in force on all processes, and returns the elapsed
/// time.
async fn wait_until_in_force(consoles: &[SocketAddr], revision: u64) -> Duration {
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
        assert!(
            begin.elapsed() < IN_FORCE_TIMEOUT,
            "{known} processes shown, without revision {revision}: {behind:#?}"
        );
        tokio::time::sleep(Duration::from_millis(50)).await;
    }
}

/// Checks that the revision of each process as shown by each entry never decreases, also after
/// restarts.
fn assert_never_reverts(observed: &BTreeMap<String, Vec<(u64, Instant)>>) {
    assert_eq!(observed.len(), 18, "{:?}", observed.keys());
    for (process, revisions) in observed {
        let reverted = revisions.windows(2).find(|pair| pair[1].0 < pair[0].0);
        assert!(reverted.is_none(), "{process}: {reverted:?}");
    }
}
