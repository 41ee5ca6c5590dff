//! Tests of how entries follow the configuration in the store during changes, outages and restarts.

use std::net::{IpAddr, Ipv4Addr, SocketAddr};
use std::sync::Arc;
use std::time::{Duration, Instant};

use geraniumpost::config::{
    ConfigCell, ConfigUpdater, FetchRequest, follow_peers, follow_store, write_change,
};
use geraniumpost_config::{check_document_value, token_digest};
use geraniumpost_core::config::{Change, ChangeOutcome};
use geraniumpost_outside::Store;
use geraniumpost_schema::{Document, Name};
use geraniumpost_standin::http::Down;
use geraniumpost_standin::store::{StoreFaults, spawn_in_process};
use serde_json::json;
use tokio::sync::mpsc;

const ANY: SocketAddr = SocketAddr::new(IpAddr::V4(Ipv4Addr::LOCALHOST), 0);

/// An entry that follows the configuration in the store.
struct Entry {
    config: Arc<ConfigUpdater>,
    wanted: mpsc::Receiver<FetchRequest>,
    task: tokio::task::JoinHandle<()>,
}

impl Entry {
    fn start(store: &Store) -> Self {
        let config = Arc::new(ConfigUpdater::new(Arc::new(ConfigCell::default()), 300));
        let (tx, wanted) = mpsc::channel(64);
        let task = tokio::spawn(follow_store(Arc::clone(&config), store.clone(), tx));
        Self { config, wanted, task }
    }

    fn revision(&self) -> u64 {
        self.config.active().load().revision()
    }

    /// Waits until a revision is in force, and returns the elapsed time.
    async fn wait_for(&self, revision: u64) -> Duration {
        let begin = Instant::now();
        let mut seen = self.config.active().subscribe();
        let reached = seen.wait_for(|now| *now >= revision);
        let reached = tokio::time::timeout(Duration::from_secs(8), reached).await;
        assert!(reached.is_ok(), "revision {revision} is not in force after 8 s");
        begin.elapsed()
    }
}

fn document(weight: u32) -> Document {
    check_document_value(json!({
        "customers": { "claro": { "token_sha256": token_digest("c"), "weight": weight } },
        "services": {}, "classes": {},
        "domains": { "surco": { "region": "lima" } },
        "operators": { "rosa": { "token_sha256": token_digest("o") } },
    }))
    .unwrap()
}

async fn change(entry: &Entry, store: &Store, based_on: u64, weight: u32) -> u64 {
    let change = Change {
        change_id: Name::from(format!("change-{weight}")),
        changed_by: Name::from("rosa"),
        based_on,
        document: serde_json::to_value(document(weight)).unwrap(),
    };
    match write_change(store, &entry.config, change).await {
        ChangeOutcome::Committed { revision } => revision,
        other => panic!("{other:?}"),
    }
}

#[tokio::test]
async fn a_change_is_in_force_on_every_entry_at_once() {
    let standin = spawn_in_process(ANY, ANY).await.unwrap();
    let store = Store::new(standin.address());
    let entries = [Entry::start(&store), Entry::start(&store), Entry::start(&store)];
    let mut revision = 0;
    for weight in 1..6 {
        revision = change(&entries[0], &store, revision, weight).await;
        for entry in &entries {
            let took = entry.wait_for(revision).await;
            assert!(took < Duration::from_secs(2), "{took:?}");
        }
    }
}

/// The store is unavailable for a while, which ends all watches. A change right after the outage
/// must still come into force on all entries within seconds.
#[tokio::test]
async fn an_outage_delays_a_change_by_seconds_only() {
    let standin = spawn_in_process(ANY, ANY).await.unwrap();
    let store = Store::new(standin.address()).timeout(Duration::from_millis(500));
    let entries = [Entry::start(&store), Entry::start(&store)];
    let revision = change(&entries[0], &store, 0, 1).await;
    entries[1].wait_for(revision).await;
    for down in [Down::Refuse, Down::Unavailable, Down::Close] {
        let faults = StoreFaults { down, ..StoreFaults::default() };
        standin.control().set_faults(&faults).await.unwrap();
        tokio::time::sleep(Duration::from_millis(700)).await;
        assert_eq!(entries[1].revision(), revision, "the configuration in force must not change");
        standin.control().set_faults(&StoreFaults::default()).await.unwrap();
    }
    let revision = change(&entries[0], &store, revision, 2).await;
    assert!(entries[1].wait_for(revision).await < Duration::from_secs(5));
}

/// An entry restarts while the store is unavailable. It must get the configuration from its peers
/// until the store responds again.
#[tokio::test]
async fn a_restart_in_an_outage_asks_the_peers() {
    let standin = spawn_in_process(ANY, ANY).await.unwrap();
    let store = Store::new(standin.address()).timeout(Duration::from_millis(300));
    let peer = Entry::start(&store);
    let revision = change(&peer, &store, 0, 1).await;
    let faults = StoreFaults { down: Down::Hang, ..StoreFaults::default() };
    standin.control().set_faults(&faults).await.unwrap();

    let mut restarted = Entry::start(&store);
    assert_eq!(restarted.wanted.recv().await, Some(FetchRequest::AllPeers));
    let json = peer.config.active().load().json().clone();
    restarted.config.received(&Name::from("entry-1"), revision, &json);
    assert!(restarted.wait_for(revision).await < Duration::from_secs(2));
}

#[tokio::test]
async fn dropping_the_receiver_ends_the_task() {
    let store = Store::new("127.0.0.1:9".parse().unwrap());
    let entry = Entry::start(&store);
    let config = Arc::clone(&entry.config);
    drop(entry.wanted);
    tokio::time::timeout(Duration::from_secs(2), entry.task).await.unwrap().unwrap();
    let (tx, rx) = mpsc::channel(1);
    let task = tokio::spawn(follow_peers(config, tx));
    drop(rx);
    tokio::time::timeout(Duration::from_secs(2), task).await.unwrap().unwrap();
}

/// Guards against idle entries that use up the store's limit on calls.
#[tokio::test]
async fn an_idle_entry_calls_the_store_less_than_once_a_second() {
    let standin = spawn_in_process(ANY, ANY).await.unwrap();
    let store = Store::new(standin.address());
    let entry = Entry::start(&store);
    let revision = change(&entry, &store, 0, 1).await;
    entry.wait_for(revision).await;
    tokio::time::sleep(Duration::from_millis(300)).await;
    let before = store.calls();
    tokio::time::sleep(Duration::from_secs(3)).await;
    assert!(store.calls() - before <= 1, "{} calls in 3 s", store.calls() - before);
}
