//! Tests of how a process writes and adopts configurations, with a stand-in for the store.

use std::net::{IpAddr, Ipv4Addr, SocketAddr};
use std::sync::Arc;
use std::time::Duration;

use assert_matches::assert_matches;
use geraniumpost::config::{ActiveConfig, ConfigCell, ConfigUpdater, FetchRequest, write_change};
use geraniumpost_config::{check_document_value, token_digest};
use geraniumpost_core::config::{Change, ChangeOutcome, Source};
use geraniumpost_outside::Store;
use geraniumpost_schema::{Document, Name};
use geraniumpost_standin::Standin;
use geraniumpost_standin::http::Down;
use geraniumpost_standin::store::{StoreFaults, spawn_in_process};
use serde_json::json;

const ANY: SocketAddr = SocketAddr::new(IpAddr::V4(Ipv4Addr::LOCALHOST), 0);

fn document(weight: u32) -> Document {
    check_document_value(json!({
        "customers": { "claro": { "token_sha256": token_digest("c"), "weight": weight } },
        "services": { "filing": {} },
        "classes": {},
        "domains": { "surco": { "region": "lima" } },
        "operators": { "rosa": { "token_sha256": token_digest("o") } },
    }))
    .unwrap()
}

fn change(id: &str, based_on: u64, weight: u32) -> Change {
    Change {
        change_id: Name::from(id),
        changed_by: Name::from("rosa"),
        based_on,
        document: serde_json::to_value(document(weight)).unwrap(),
    }
}

async fn store() -> (Standin, Store) {
    let standin = spawn_in_process(ANY, ANY).await.unwrap();
    let store = Store::new(standin.address()).timeout(Duration::from_millis(300));
    (standin, store)
}

fn config_updater() -> ConfigUpdater {
    ConfigUpdater::new(Arc::new(ConfigCell::default()), 100)
}

#[test]
fn tokens_and_services_are_found() {
    let active = ConfigCell::default();
    assert!(active.load().caller("c").is_none());
    assert!(active.adopt(ActiveConfig::new(4, Name::from("x"), document(3))));
    let now = active.load();
    assert_eq!(now.caller("c").unwrap().name.as_str(), "claro");
    assert_eq!(now.caller("c").unwrap().limits.weight, 3);
    assert_eq!(now.operator("o").unwrap().as_str(), "rosa");
    assert!(now.caller("o").is_none() && now.operator("c").is_none());
    assert!(now.service("filing").is_some() && now.service("badges").is_none());
}

/// Two tasks put revisions in force in another order than was decided. The lower revision must not
/// end up in force, because that would revert an accepted change.
#[test]
fn a_lower_revision_is_never_put_in_force() {
    let active = ConfigCell::default();
    let mut seen = active.subscribe();
    assert!(active.adopt(ActiveConfig::new(4, Name::default(), document(4))));
    assert!(!active.adopt(ActiveConfig::new(3, Name::default(), document(3))));
    assert!(!active.adopt(ActiveConfig::new(4, Name::default(), document(5))));
    assert_eq!(active.load().document().customers["claro"].weight, 4);
    assert_eq!(*seen.borrow_and_update(), 4);
}

#[tokio::test]
async fn a_change_is_written_and_adopted_by_another_process() {
    let (_standin, store) = store().await;
    let outcome = write_change(&store, &config_updater(), change("one", 0, 2)).await;
    let ChangeOutcome::Committed { revision } = outcome else { panic!("{outcome:?}") };
    let config = config_updater();
    assert_eq!(config.start(), vec![FetchRequest::AllPeers]);
    config.refresh(&store).await.unwrap();
    let now = config.active().load();
    assert_eq!((now.revision(), now.change_id().as_str()), (revision, "one"));
}

/// The store writes a change, but its response is lost. The change must be reported as committed
/// and be made once.
#[tokio::test]
async fn change_with_a_lost_response_is_read_back() {
    let (standin, store) = store().await;
    let first = write_change(&store, &config_updater(), change("one", 0, 2)).await;
    let ChangeOutcome::Committed { revision } = first else { panic!("{first:?}") };
    let faults = StoreFaults { lose_replies: 1, ..StoreFaults::default() };
    standin.control().set_faults(&faults).await.unwrap();
    let outcome = write_change(&store, &config_updater(), change("two", revision, 3)).await;
    let ChangeOutcome::Committed { revision: second } = outcome else { panic!("{outcome:?}") };
    let found = store.get(geraniumpost::config::CONFIG_KEY).await.unwrap().unwrap();
    assert_eq!(found.revision, second);
}

#[tokio::test]
async fn conflict_names_the_first_change() {
    let (_standin, store) = store().await;
    let first = write_change(&store, &config_updater(), change("one", 0, 2)).await;
    let ChangeOutcome::Committed { revision } = first else { panic!("{first:?}") };
    write_change(&store, &config_updater(), change("two", revision, 3)).await;
    let outcome = write_change(&store, &config_updater(), change("three", revision, 4)).await;
    let ChangeOutcome::Conflict { changes, .. } = outcome else { panic!("{outcome:?}") };
    assert_eq!(changes[0].change_id.as_str(), "two");
    assert_eq!(changes[0].paths, [Name::from("customers.claro.weight")]);
}

#[tokio::test]
async fn unavailable_store_accepts_no_change() {
    let (standin, store) = store().await;
    let faults = StoreFaults { down: Down::Unavailable, ..StoreFaults::default() };
    standin.control().set_faults(&faults).await.unwrap();
    assert_matches!(
        write_change(&store, &config_updater(), change("one", 0, 2)).await,
        ChangeOutcome::Unavailable
    );
    assert!(config_updater().refresh(&store).await.is_err());
}

/// A process restarts while the store is unavailable. It must adopt the highest revision of its
/// peers.
#[tokio::test]
async fn a_restart_in_an_outage_takes_the_highest_of_the_peers() {
    let config = config_updater();
    config.start();
    let (old, new) = (Name::from("entry-1"), Name::from("entry-2"));
    let json = |weight| geraniumpost_config::encode_document(&document(weight));
    assert_eq!(config.offered(&new, 7), vec![FetchRequest::One(Source::Peer(new.clone()))]);
    config.received(&old, 5, &json(5));
    config.received(&new, 7, &json(7));
    assert_eq!(config.active().load().revision(), 0, "still waiting for other peers");
    tokio::time::sleep(Duration::from_millis(120)).await;
    config.tick();
    assert_eq!(config.active().load().revision(), 7);
    assert_eq!(config.active().load().document().customers["claro"].weight, 7);
}

#[test]
fn a_document_that_cannot_be_read_is_not_adopted() {
    let config = config_updater();
    config.received(&Name::from("entry-1"), 9, b"{\"from\": \"the future\"}");
    config.stored(9, &bytes::Bytes::from_static(b"\xff\x00"));
    assert_eq!(config.active().load().revision(), 0);
}
